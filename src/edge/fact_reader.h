#pragma once

/// @file
/// Reads a topic of the store by long polling and applies new records.

#include <functional>
#include <string>

#include "edge/edge_state.h"
#include "edge/http_call.h"

namespace goldcrestwood {

/// Follows one keyed topic for the life of the process.
class TopicReader {
public:
    using ApplyRecords = void (*)(EdgeState&, const std::vector<KeyedRecord>&, const char*);
    /// @return Pause between new records and the next read, so that records are read in batches.
    using BatchPause = Duration (*)(const EdgeState&);

    TopicReader(EdgeState& state, const asio::any_io_executor& executor, std::string topic, KeyedFeed& feed, TopicContact& contact, ApplyRecords onRecords, BatchPause pauseAfterRecords);

    /// Reads until the process stops.
    Task<> run();

    /// Aborts a long poll, so that the topic is read again at once on a new connection.
    void refresh();

private:
    Task<> wait(Duration pause);
    Task<bool> list();
    Task<bool> readNext();
    void updateContact(bool answered);

    EdgeState& state;
    asio::any_io_executor executor;
    std::string topic;
    KeyedFeed& feed;
    TopicContact& contact;
    ApplyRecords applyRecords;
    BatchPause batchPause;
    HttpCaller caller;
    bool needsListing = true;
    bool hadRecords = false;
    int failures = 0;
};

} // namespace goldcrestwood
