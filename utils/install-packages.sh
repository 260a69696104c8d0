#!/usr/bin/env bash
# Installs the Debian packages that building and testing need. Run as root.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y --no-install-recommends \
    g++ cmake ninja-build ccache pkg-config git python3 curl clang-format clang-tidy \
    qt6-base-dev libnghttp2-dev prometheus-cpp-dev libtomlplusplus-dev \
    libtclap-dev liblog4cxx-dev libcppunit-dev libprotobuf-dev protobuf-compiler libreaderwriterqueue-dev \
    libxxhash-dev libboost-dev libssl-dev
