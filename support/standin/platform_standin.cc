/// @file
/// Stand-in for the platform: append-only log, lagging instance list and rate-limited weight store.

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <thread>

#include <msgpack.hpp>

#include "standin.h"

using namespace goldcrestwood;
using namespace goldcrestwood::standin;

namespace {

constexpr std::size_t defaultReadLimit = 1000;
constexpr int maxReadWaitMs = 30000;
/// Concurrent loads that the weight store serves at full speed.
constexpr int maxFullSpeedLoads = 2;

struct PlatformOptions {
    double appendsPerSecond = 400;
    int retentionSeconds = 3600;
    int listLagMs = 1000;
    int weightsMs = 200;
};

struct PlatformFaults {
    /// Appends to and reads from the log fail with 503; everything else works.
    bool logOutage = false;
    /// Delay before an append takes effect, in milliseconds.
    int appendDelayMs = 0;
    /// Changes of the instance list stay invisible.
    bool freezeList = false;
    /// Factor on the time of a weight load.
    double weightsSlowdown = 1;
};

void visitFields(PlatformFaults& faults, const auto& visit)
{
    visit("log_outage", faults.logOutage);
    visit("append_delay_ms", faults.appendDelayMs);
    visit("freeze_list", faults.freezeList);
    visit("weights_slowdown", faults.weightsSlowdown);
}

struct StoredRecord {
    Clock::time_point appended;
    std::string bytes;
};

struct Stream {
    std::uint64_t first = 0;
    std::deque<StoredRecord> records;

    std::uint64_t next() const { return this->first + this->records.size(); }
};

/// Streams of records with offsets that start at 0.
class AppendLog {
public:
    explicit AppendLog(const PlatformOptions& logOptions)
        : options(logOptions)
        , tokens(logOptions.appendsPerSecond)
    {
    }

    /// Takes one token of the append rate limit. @return False if there is none.
    bool acquireAppend()
    {
        const std::lock_guard guard(this->lock);
        const auto now = Clock::now();
        const std::chrono::duration<double> elapsed = now - this->refilled;
        this->refilled = now;
        this->tokens = std::min(this->options.appendsPerSecond,
            this->tokens + elapsed.count() * this->options.appendsPerSecond);
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

    /// @return The offset of the first appended record.
    std::uint64_t append(const std::string& name, const std::vector<std::string>& records)
    {
        const std::lock_guard guard(this->lock);
        auto& stream = this->streams[name];
        const auto offset = stream.next();
        for (const auto& bytes : records)
            stream.records.push_back({ Clock::now(), bytes });
        this->expire(stream);
        this->appended.notify_all();
        return offset;
    }

    /// Waits up to @p wait for a record at offset @p from and reads at most @p limit records.
    /// @return The encoded answer: first stored offset, next offset to read, and the records with their offsets.
    std::string read(
        const std::string& name, std::uint64_t from, std::size_t limit, std::chrono::milliseconds wait)
    {
        std::unique_lock guard(this->lock);
        auto& stream = this->streams[name];
        this->appended.wait_for(guard, wait, [&] { return stream.next() > from; });
        this->expire(stream);
        const auto start = std::max(from, stream.first);
        const auto end = std::min<std::uint64_t>(stream.next(), start + limit);
        const auto count = end > start ? end - start : 0;
        msgpack::sbuffer out;
        msgpack::packer packer(out);
        packer.pack_array(3);
        packer.pack(stream.first);
        packer.pack(count > 0 ? end : std::min(start, stream.next()));
        packer.pack_array(static_cast<std::uint32_t>(count));
        for (auto offset = start; offset < start + count; ++offset) {
            const auto& bytes = stream.records[offset - stream.first].bytes;
            packer.pack_array(2);
            packer.pack(offset);
            packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
            packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
        }
        return { out.data(), out.size() };
    }

private:
    void expire(Stream& stream) const
    {
        const auto oldest = Clock::now() - std::chrono::seconds(this->options.retentionSeconds);
        while (!stream.records.empty() && stream.records.front().appended < oldest) {
            stream.records.pop_front();
            ++stream.first;
        }
    }

    PlatformOptions options;
    std::mutex lock;
    std::condition_variable appended;
    std::map<std::string, Stream> streams;
    double tokens;
    Clock::time_point refilled = Clock::now();
};

/// Instance list of the platform; changes become visible after a lag.
class InstanceList {
public:
    explicit InstanceList(std::chrono::milliseconds listLag)
        : lag(listLag)
    {
    }

    void set(const std::string& id, const nlohmann::json& entry)
    {
        const std::lock_guard guard(this->lock);
        this->changes.push_back({ Clock::now() + this->lag, id, entry });
    }

    nlohmann::json visibleInstances(bool frozen)
    {
        const std::lock_guard guard(this->lock);
        while (!frozen && !this->changes.empty() && this->changes.front().visible <= Clock::now()) {
            this->apply(this->changes.front());
            this->changes.pop_front();
        }
        auto list = nlohmann::json::array();
        for (const auto& [id, entry] : this->entries)
            list.push_back(entry);
        return { { "instances", list } };
    }

private:
    struct Change {
        Clock::time_point visible;
        std::string id;
        nlohmann::json entry;
    };

    void apply(const Change& change)
    {
        if (change.entry.is_null()) {
            this->entries.erase(change.id);
            return;
        }
        auto entry = change.entry;
        entry["id"] = change.id;
        this->entries[change.id] = entry;
    }

    std::chrono::milliseconds lag;
    std::mutex lock;
    std::deque<Change> changes;
    std::map<std::string, nlohmann::json> entries;
};

std::vector<std::string> unpackRecords(const std::string& body)
{
    const auto handle = msgpack::unpack(body.data(), body.size());
    std::vector<std::string> records;
    for (const auto& item : handle.get().as<std::vector<msgpack::object>>()) {
        if (item.type != msgpack::type::BIN)
            throw msgpack::type_error();
        records.emplace_back(item.via.bin.ptr, item.via.bin.size);
    }
    return records;
}

template <typename Number>
Number numberParameter(const httplib::Request& request, const char* name, Number fallback)
{
    if (!request.has_param(name))
        return fallback;
    return static_cast<Number>(std::strtoull(request.get_param_value(name).c_str(), nullptr, 10));
}

void registerLog(httplib::Server& server, FaultSwitch<PlatformFaults>& faults, AppendLog& log)
{
    server.Post(R"(/v1/streams/([^/]+)/records)", faults.guarded([&](const auto& request, auto& response) {
        if (faults.own().logOutage)
            return answerJson(response, { { "error", "log outage" } }, 503);
        if (!log.acquireAppend())
            return answerJson(response, { { "error", "append rate" } }, 429);
        try {
            const auto records = unpackRecords(request.body);
            std::this_thread::sleep_for(std::chrono::milliseconds(faults.own().appendDelayMs));
            const auto offset = log.append(request.matches[1], records);
            msgpack::sbuffer out;
            msgpack::pack(out, std::vector<std::uint64_t> { offset, records.size() });
            response.set_content(out.data(), out.size(), "application/msgpack");
        } catch (const std::exception& error) {
            answerJson(response, { { "error", error.what() } }, 400);
        }
    }));
    server.Get(R"(/v1/streams/([^/]+)/records)", faults.guarded([&](const auto& request, auto& response) {
        if (faults.own().logOutage)
            return answerJson(response, { { "error", "log outage" } }, 503);
        const auto wait = std::min(numberParameter(request, "wait_ms", 0), maxReadWaitMs);
        const auto bytes = log.read(request.matches[1], numberParameter<std::uint64_t>(request, "from", 0),
            numberParameter(request, "limit", defaultReadLimit), std::chrono::milliseconds(wait));
        if (faults.own().logOutage)
            return answerJson(response, { { "error", "log outage" } }, 503);
        response.set_content(bytes.data(), bytes.size(), "application/msgpack");
    }));
}

void registerInstances(httplib::Server& server, FaultSwitch<PlatformFaults>& faults, InstanceList& instances)
{
    server.Get("/v1/instances", faults.guarded([&](const auto&, auto& response) {
        answerJson(response, instances.visibleInstances(faults.own().freezeList));
    }));
    server.Put(R"(/v1/instances/(.+))", [&](const auto& request, auto& response) {
        instances.set(request.matches[1], nlohmann::json::parse(request.body));
        answerJson(response, nlohmann::json::object());
    });
    server.Delete(R"(/v1/instances/(.+))", [&](const auto& request, auto& response) {
        instances.set(request.matches[1], nullptr);
        answerJson(response, nlohmann::json::object());
    });
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    PlatformOptions options;
    po::options_description description("platform_standin");
    description.add_options()("appends-per-second", po::value(&options.appendsPerSecond)->default_value(400),
        "append calls per second over all streams")("retention-seconds",
        po::value(&options.retentionSeconds)->default_value(3600), "retention time of records")("list-lag-ms",
        po::value(&options.listLagMs)->default_value(1000), "delay of the instance list")(
        "weights-ms", po::value(&options.weightsMs)->default_value(200), "time of one weight load");
    const auto common = parseCommandLine(argc, argv, description);

    httplib::Server server;
    FaultSwitch<PlatformFaults> faults(server, common.seed);
    AppendLog log(options);
    InstanceList instances { std::chrono::milliseconds(options.listLagMs) };
    std::atomic<int> loads { 0 };
    registerLog(server, faults, log);
    registerInstances(server, faults, instances);
    server.Get(R"(/v1/weights/(.+))", faults.guarded([&](const auto& request, auto& response) {
        const auto activeLoads = ++loads;
        const auto factor = std::max(1.0, static_cast<double>(activeLoads) / maxFullSpeedLoads) * faults.own().weightsSlowdown;
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(options.weightsMs * factor));
        --loads;
        response.set_content("weights of " + std::string(request.matches[1]), "application/octet-stream");
    }));
    return serve(server, common.listen);
}
