/// @file
/// A store that keeps keyed topics and one group in memory, and fails as it is told.
#pragma once

#include "Records.h"

#include <eelgrasscleat/Wire/HttpServer.h>

#include <map>
#include <string>
#include <vector>

namespace Eelgrasscleat::PlatformAdapter
{

/// The stand-in. Reads with no record to return answer when one is written.
class StoreStandIn : public HttpServerHandler
{
public:
    StoreStandIn();

    std::uint16_t port = 0;
    bool refuses = false; ///< Answers 503.
    bool silent = false; ///< Answers nothing.
    std::string groupAnswer = R"({"generation":1,"ttl-ms":1200,"parts":[]})";
    std::vector<std::string> groupCalls; ///< Bodies.
    int lists = 0;
    bool ignoresAfter = false; ///< Each page of a listing is the first one.
    std::size_t itemsOfPage = 500; ///< Most items that a page of a listing has.

    void write(const std::string &topic, const KeyedRecord &record);
    /// Drops the records of a topic, but not the newest of each key.
    void forget(const std::string &topic);

    void requestReceived(HttpRequest request) override;
    void callerGone(CallerId id) override;
    void refused(HttpRefusal refusal, const std::string &peer) override;

private:
    struct Topic
    {
        std::vector<KeyedRecord> records;
        std::uint64_t first = 0;
        std::map<std::string, QByteArray> newest;
    };
    struct Waiting
    {
        CallerId id;
        std::string topic;
        std::uint64_t from;
    };

    void answerRead(CallerId id, const std::string &topic, std::uint64_t from);
    void answerNewest(CallerId id, const std::string &topic, const std::string &after);

    HttpServer m_server;
    std::map<std::string, Topic> m_topics;
    std::vector<Waiting> m_waiting;
};

} // namespace Eelgrasscleat::PlatformAdapter
