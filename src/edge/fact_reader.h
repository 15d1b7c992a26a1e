#pragma once

/// @file
/// Reads a topic of the store by long polling and applies new records.

#include <functional>
#include <string>

#include "edge/edge_state.h"
#include "edge/http_call.h"

namespace goldcrestwood {

/// Follows one keyed topic for the life of the process.
class FactReader {
public:
    using Believe = void (*)(EdgeState&, const std::vector<KeyedRecord>&, const char*);
    /// @return Pause between new records and the next read, so that records are read in batches.
    using Pace = Duration (*)(const EdgeState&);

    FactReader(EdgeState& state, const asio::any_io_executor& executor, std::string topic, KeyedFeed& feed, TopicContact& contact, Believe onRecords, Pace pauseAfterRecords);

    /// Reads until the process stops.
    Task<> run();

    /// Aborts a long poll, so that the topic is read again at once on a new connection.
    void refresh();

private:
    Task<> wait(Duration pause);
    Task<bool> list();
    Task<bool> readOn();
    void onAnswer(bool answered);

    EdgeState& state;
    asio::any_io_executor executor;
    std::string topic;
    KeyedFeed& feed;
    TopicContact& contact;
    Believe believe;
    Pace pace;
    HttpCaller caller;
    bool needsListing = true;
    bool hadNews = false;
    int failures = 0;
};

} // namespace goldcrestwood
