#!/usr/bin/env bash
# Renews the committed message code in schema/generated from schema/*.proto.
set -euo pipefail
cd "$(dirname "$0")/../schema"
protoc --cpp_out=generated --proto_path=. ./*.proto
