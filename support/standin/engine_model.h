#pragma once

/// @file
/// Simulated engine with continuous batching and a bounded prefix cache.

#include <chrono>
#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cache_events.h"

#include "goldcrestwood/random.h"

namespace goldcrestwood::standin {

struct EngineOptions {
    std::string service = "model";
    std::string version = "v1";
    std::string tokenizer = "default";
    std::string role = "both";
    std::size_t blockTokens = 1024;
    std::size_t bytesPerToken = 1024;
    std::size_t cacheBlocks = 64;
    double prefillTokensPerSecond = 20000;
    double decodeTokensPerSecond = 200;
    std::size_t maxRunning = 32;
    std::size_t maxWaiting = 64;
    /// Concurrent runs that a cold engine can handle; one more overloads it.
    std::size_t maxColdRunning = 2;
    /// Finished runs after which a cold engine is warm; 0 starts warm.
    std::size_t warmUpRuns = 8;
    /// How long the engine refuses runs after an overload while cold.
    std::chrono::milliseconds overloadRefusalTime { 2000 };
    std::chrono::milliseconds eventLag { 300 };
    std::chrono::milliseconds loadLag { 500 };
    bool enforcesFencing = false;
    /// Address of the platform that serves the weights; empty for a fixed load time.
    std::string weightsAddress;
    std::chrono::milliseconds minLoadTime { 200 };
};

struct EngineFaults {
    /// Each change resets the engine to cold without warning and clears its cache.
    int coldResets = 0;
    /// Factor on the time of prefill and decode.
    double slowdown = 1;
    /// Factor on the load time.
    double loadSlowdown = 1;
    double dropEventShare = 0;
    /// Faulty version; empty for none.
    std::string badVersion;
    /// "fail" or "slow".
    std::string badMode = "fail";
    /// The version is faulty only after this many runs.
    int badAfterRuns = 0;
    /// The version is faulty only while at least this many runs are open.
    int badFromRunning = 0;
    /// The version is faulty only for this route; empty for all.
    std::string badRoute;
};

void visitFields(EngineFaults& faults, const auto& visit)
{
    visit("cold_turns", faults.coldResets);
    visit("slowdown", faults.slowdown);
    visit("load_slowdown", faults.loadSlowdown);
    visit("drop_event_share", faults.dropEventShare);
    visit("bad_version", faults.badVersion);
    visit("bad_mode", faults.badMode);
    visit("bad_after_runs", faults.badAfterRuns);
    visit("bad_from_running", faults.badFromRunning);
    visit("bad_route", faults.badRoute);
}

/// Parameters of a completion.
struct RunRequest {
    std::string requestId;
    std::string runId;
    std::string prompt;
    std::string account;
    std::string version;
    std::string route;
    int priority = 0;
    std::size_t maxTokens = 16;
    std::size_t startToken = 0;
    std::uint64_t seed = 0;
};

enum class RunState {
    Waiting,
    Running,
    Finished,
    Cancelled,
};

/// A whole block of a prompt; its hash is computed from the previous block's hash and the text.
struct PromptBlock {
    std::uint64_t hash = 0;
    std::uint64_t previous = 0;
    std::string account;
    std::string version;
    std::string text;

    /// @return The block in the format that engine and store exchange.
    std::string pack() const;
    /// @return The block in @p bytes; its hash is 0 if the bytes are incomplete.
    static PromptBlock unpack(const std::string& bytes);
};

/// @return The hash chain of the prompt's whole blocks; a block's text is its words, separated by single spaces.
std::vector<PromptBlock> splitBlocks(const EngineOptions& options, const RunRequest& request);

/// @return Token @p index of the answer: CRC-32 of `prompt \n version \n seed \n index`, hexadecimal.
std::string tokenAt(const RunRequest& request, std::size_t index);

struct Run {
    RunRequest request;
    RunState state = RunState::Waiting;
    std::vector<PromptBlock> blocks;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    double prefillLeft = 0;
    double decodeCredit = 0;
    bool isSlow = false;
    std::vector<std::string> tokens;
    std::uint64_t arrival = 0;
    std::chrono::steady_clock::time_point started;
};

/// The next part of a token stream.
struct StreamPiece {
    std::vector<std::string> tokens;
    RunState state = RunState::Waiting;
    std::size_t cachedTokens = 0;
    std::size_t totalTokens = 0;
};

/// Thread-safe; `advance` is called by one thread.
class Engine {
public:
    Engine(const EngineOptions& engineOptions, std::uint64_t seed);

    /// @return The HTTP status: 200; 409 if the version is not loaded; 503 if the engine is loading or overloaded; 500 for a faulty version.
    int submit(const RunRequest& request);
    /// Waits for tokens from index @p from. @return False if the run is unknown.
    bool waitForTokens(const std::string& runId, std::size_t from, StreamPiece& piece);
    bool hasRun(const std::string& runId) const;
    std::string requestIdOf(const std::string& runId) const;
    bool cancel(const std::string& runId);

    /// Advances prefill and decode by @p elapsed.
    void advance(std::chrono::duration<double> elapsed, const EngineFaults& faults);

    nlohmann::json eventsAfter(std::uint64_t sequence) { return this->events.eventsAfter(sequence); }
    nlohmann::json lastLoadReport() const;
    /// @return Runs, prompt tokens and cached tokens of all runs that started.
    nlohmann::json counts() const;

    /// @return False if fencing is checked and the fence is older than the newest one.
    bool acceptFence(std::uint64_t fence);
    /// @return False if another load is running.
    bool beginLoad();
    void finishLoad(const std::string& version);
    std::string version() const;
    void setRole(const std::string& newRole);
    void setAdapter(const std::string& newAdapter);

    std::vector<PromptBlock> findCached(const std::vector<std::uint64_t>& hashes) const;
    void insert(const PromptBlock& block);

private:
    using RunPointer = std::shared_ptr<Run>;

    std::size_t openRuns() const;
    bool isBad(const RunRequest& request) const;
    void admit();
    void start(Run& run);
    void prefill(double tokens);
    void decode(Run& run, double tokens);
    void finish(Run& run, RunState state);
    void insertLocked(const PromptBlock& block);
    bool evictOldest();
    void recordEvent(const char* kind, const PromptBlock& block);
    bool isPinned(std::uint64_t hash) const;
    void resetToCold();
    void discardOldRuns();
    nlohmann::json loadReport() const;

    EngineOptions options;
    mutable std::mutex lock;
    std::condition_variable progress;
    EngineFaults faults;
    CacheEvents events;
    std::map<std::string, RunPointer> runs;
    std::list<std::string> finishedRuns;
    std::vector<RunPointer> waiting;
    std::vector<RunPointer> running;
    std::map<std::uint64_t, PromptBlock> blocks;
    std::list<std::uint64_t> lruOrder;
    std::map<std::string, int> runsOfVersion;
    std::string loadedVersion;
    std::string adapter;
    std::string role;
    std::uint64_t newestFence = 0;
    std::uint64_t arrivals = 0;
    std::size_t startedRuns = 0;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    bool isLoading = false;
    bool isCold = false;
    std::size_t runsWhileCold = 0;
    std::chrono::steady_clock::time_point overloadedUntil;
    double firstTokenMs = 0;
    std::chrono::steady_clock::time_point reported;
    nlohmann::json report;
    Random random;
};

} // namespace goldcrestwood::standin
