/// @file
/// Stand-in for a model engine.

#include <thread>

#include "engine_model.h"
#include "standin.h"

#include "goldcrestwood/hash.h"

using namespace goldcrestwood;
using namespace goldcrestwood::standin;

namespace {

constexpr std::chrono::milliseconds tick { 5 };

struct OrderRecord {
    std::string kind;
    std::string value;
    std::uint64_t fence = 0;
    int status = 0;
};

/// Orders in order of arrival, for tests.
class OrderLog {
public:
    void add(OrderRecord record)
    {
        const std::lock_guard guard(this->lock);
        this->records.push_back(std::move(record));
    }

    nlohmann::json toJson() const
    {
        const std::lock_guard guard(this->lock);
        auto list = nlohmann::json::array();
        for (const auto& [kind, value, fence, status] : this->records)
            list.push_back({ { "kind", kind }, { "value", value }, { "fence", fence }, { "status", status } });
        return { { "orders", list } };
    }

private:
    mutable std::mutex lock;
    std::vector<OrderRecord> records;
};

struct EngineProcess {
    EngineOptions options;
    Engine engine;
    FaultSwitch<EngineFaults> faults;
    OrderLog orders;

    EngineProcess(const EngineOptions& engineOptions, httplib::Server& server, std::uint64_t seed)
        : options(engineOptions)
        , engine(engineOptions, seed)
        , faults(server, seed)
    {
    }
};

RunRequest parseRun(const std::string& body)
{
    const auto json = nlohmann::json::parse(body);
    RunRequest request;
    request.requestId = json.value("request_id", "");
    request.runId = json.at("run_id");
    request.prompt = json.at("prompt");
    request.account = json.value("account", "");
    request.version = json.at("version");
    request.route = json.value("route", "");
    request.priority = json.value("priority", 0);
    request.maxTokens = json.value("max_tokens", request.maxTokens);
    request.startToken = json.value("start_token", request.startToken);
    request.seed = json.value("seed", request.seed);
    return request;
}

std::string sseEvent(const nlohmann::json& data) { return "data: " + data.dump() + "\n\n"; }

bool writePiece(httplib::DataSink& sink, const std::string& requestId, const std::string& runId, std::size_t& next,
    const StreamPiece& piece)
{
    for (const auto& token : piece.tokens) {
        const auto event
            = sseEvent({ { "request_id", requestId }, { "run_id", runId }, { "index", next++ }, { "token", token } });
        waitWhileSilent();
        if (!sink.write(event.data(), event.size()))
            return false;
    }
    if (piece.state <= RunState::Running)
        return true;
    const auto* finish = piece.state == RunState::Finished ? "stop" : "cancelled";
    const auto event = sseEvent({ { "request_id", requestId }, { "run_id", runId }, { "finish", finish },
        { "tokens", piece.totalTokens }, { "cached_tokens", piece.cachedTokens } });
    const bool written = sink.write(event.data(), event.size());
    sink.done();
    return written;
}

void streamRun(Engine& engine, httplib::Response& response, const std::string& requestId, const std::string& runId,
    std::size_t from)
{
    response.set_chunked_content_provider("text/event-stream",
        [&engine, requestId, runId, next = from](std::size_t, httplib::DataSink& sink) mutable {
            StreamPiece piece;
            waitWhileSilent();
            if (!sink.is_writable() || !engine.waitForTokens(runId, next, piece))
                return false;
            waitWhileSilent();
            return writePiece(sink, requestId, runId, next, piece);
        });
}

void completions(EngineProcess& process, const httplib::Request& request, httplib::Response& response)
{
    try {
        const auto run = parseRun(request.body);
        if (const auto status = process.engine.submit(run); status != 200)
            return answerJson(response, { { "error", status == 409 ? "version not loaded" : "overloaded" } }, status);
        streamRun(process.engine, response, run.requestId, run.runId, run.startToken);
    } catch (const nlohmann::json::exception& error) {
        answerJson(response, { { "error", error.what() } }, 400);
    }
}

void load(EngineProcess& process, const std::string& version)
{
    const auto started = Clock::now();
    const auto time = process.options.minLoadTime * process.faults.own().loadSlowdown;
    while (!process.options.weightsAddress.empty()) {
        auto client = makeClient(process.options.weightsAddress);
        if (const auto answer = client.Get("/v1/weights/" + version); answer && answer->status == 200)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    std::this_thread::sleep_until(started + std::chrono::duration_cast<Clock::duration>(time));
    process.engine.finishLoad(version);
}

int executeOrder(EngineProcess& process, const OrderRecord& order)
{
    if (!process.engine.acceptFence(order.fence))
        return 412;
    if (order.kind == "adapter")
        process.engine.setAdapter(order.value);
    else if (order.kind == "role")
        process.engine.setRole(order.value);
    else if (order.kind != "load")
        return 400;
    else if (process.engine.version() == order.value)
        return 200;
    else if (!process.engine.beginLoad())
        return 409;
    else
        std::thread([&process, version = order.value] { load(process, version); }).detach();
    return 200;
}

void orders(EngineProcess& process, const httplib::Request& request, httplib::Response& response)
{
    try {
        const auto json = nlohmann::json::parse(request.body);
        OrderRecord order { json.at("kind"), json.at("value"), json.value("fence", std::uint64_t { 0 }) };
        order.status = executeOrder(process, order);
        process.orders.add(order);
        answerJson(response, { { "status", order.status } }, order.status);
    } catch (const nlohmann::json::exception& error) {
        answerJson(response, { { "error", error.what() } }, 400);
    }
}

struct TransferRequest {
    std::vector<std::uint64_t> hashes;
    std::string store;
    Clock::time_point deadline;
};

TransferRequest parseTransfer(const std::string& body)
{
    const auto json = nlohmann::json::parse(body);
    TransferRequest request;
    for (const auto& hash : json.at("hashes"))
        request.hashes.push_back(std::strtoull(hash.get<std::string>().c_str(), nullptr, 16));
    request.store = json.at("store");
    request.deadline = Clock::now() + std::chrono::milliseconds(json.value("deadline_ms", 5000));
    return request;
}

bool exportBlock(EngineProcess& process, httplib::Client& store, const PromptBlock& block)
{
    const auto content = block.pack();
    const httplib::Headers headers { { "X-Checksum", toHex(stableHash(content)) },
        { "X-Bytes", std::to_string(process.options.blockTokens * process.options.bytesPerToken) } };
    const auto answer = store.Put("/v1/blocks/" + toHex(block.hash), headers, content, "application/octet-stream");
    return answer && answer->status == 201;
}

/// Verifies checksum, generation and hash after the read, so that no corrupt or replaced block is inserted.
bool importBlock(EngineProcess& process, httplib::Client& store, std::uint64_t hash)
{
    const auto path = "/v1/blocks/" + toHex(hash);
    const auto answer = store.Get(path);
    if (!answer || answer->status != 200)
        return false;
    if (answer->get_header_value("X-Checksum") != toHex(stableHash(answer->body)))
        return false;
    const auto after = store.Head(path);
    if (!after || after->get_header_value("X-Generation") != answer->get_header_value("X-Generation"))
        return false;
    const auto block = PromptBlock::unpack(answer->body);
    if (block.hash != hash)
        return false;
    process.engine.insert(block);
    return true;
}

void transfer(EngineProcess& process, const httplib::Request& request, httplib::Response& response, bool isExport)
{
    try {
        const auto parsed = parseTransfer(request.body);
        auto store = makeClient(parsed.store);
        store.set_keep_alive(true);
        auto transferred = nlohmann::json::array();
        if (isExport) {
            for (const auto& block : process.engine.findCached(parsed.hashes))
                if (exportBlock(process, store, block))
                    transferred.push_back(toHex(block.hash));
        } else {
            for (const auto hash : parsed.hashes)
                if (Clock::now() < parsed.deadline && importBlock(process, store, hash))
                    transferred.push_back(toHex(hash));
        }
        answerJson(response, { { isExport ? "exported" : "imported", transferred } });
    } catch (const nlohmann::json::exception& error) {
        answerJson(response, { { "error", error.what() } }, 400);
    }
}

void registerRuns(httplib::Server& server, EngineProcess& process)
{
    server.Post("/v1/completions", process.faults.guarded([&](const auto& request, auto& response) {
        completions(process, request, response);
    }));
    server.Get(R"(/v1/runs/(.+))", process.faults.guarded([&](const auto& request, auto& response) {
        const std::string runId = request.matches[1];
        if (!process.engine.hasRun(runId))
            return answerJson(response, { { "error", "unknown run" } }, 404);
        const auto from = std::strtoull(request.get_param_value("from").c_str(), nullptr, 10);
        streamRun(process.engine, response, process.engine.requestIdOf(runId), runId, from);
    }));
    server.Delete(R"(/v1/runs/(.+))", process.faults.guarded([&](const auto& request, auto& response) {
        const bool known = process.engine.cancel(request.matches[1]);
        answerJson(response, { { "cancelled", known } }, known ? 200 : 404);
    }));
}

void registerReports(httplib::Server& server, EngineProcess& process)
{
    server.Get("/v1/events", process.faults.guarded([&](const auto& request, auto& response) {
        const auto after = std::strtoull(request.get_param_value("after").c_str(), nullptr, 10);
        answerJson(response, process.engine.eventsAfter(after));
    }));
    server.Get("/v1/load", process.faults.guarded([&](const auto&, auto& response) {
        answerJson(response, process.engine.lastLoadReport());
    }));
    server.Get("/counts", [&](const auto&, auto& response) { answerJson(response, process.engine.counts()); });
    server.Get("/v1/orders",
        [&](const auto&, auto& response) { answerJson(response, process.orders.toJson()); });
    server.Post("/v1/orders", process.faults.guarded([&](const auto& request, auto& response) {
        orders(process, request, response);
    }));
    server.Post("/v1/cache/export", process.faults.guarded([&](const auto& request, auto& response) {
        transfer(process, request, response, true);
    }));
    server.Post("/v1/cache/import", process.faults.guarded([&](const auto& request, auto& response) {
        transfer(process, request, response, false);
    }));
}

void runEngine(EngineProcess& process)
{
    auto last = Clock::now();
    while (true) {
        std::this_thread::sleep_for(tick);
        const auto now = Clock::now();
        process.engine.advance(now - last, process.faults.own());
        last = now;
    }
}

struct MillisecondOptions {
    int fallOver = 2000;
    int eventLag = 300;
    int loadLag = 500;
    int loadTime = 200;
};

boost::program_options::options_description describeOptions(EngineOptions& options, MillisecondOptions& timeOptions)
{
    namespace po = boost::program_options;
    po::options_description text("engine_standin");
    auto add = [&text](const char* name, auto& value, const char* help) {
        text.add_options()(name, po::value(&value)->default_value(value), help);
    };
    add("service", options.service, "service name; part of the block hash");
    add("version", options.version, "version loaded at the start");
    add("tokenizer", options.tokenizer, "tokenizer name; part of the block hash");
    add("role", options.role, "role at the start");
    add("block-tokens", options.blockTokens, "tokens in a cache block");
    add("bytes-per-token", options.bytesPerToken, "cache bytes per token");
    add("cache-blocks", options.cacheBlocks, "capacity of the cache in blocks");
    add("prefill-rate", options.prefillTokensPerSecond, "prompt tokens per second over all runs");
    add("decode-rate", options.decodeTokensPerSecond, "tokens per second of each run");
    add("max-running", options.maxRunning, "runs in one batch");
    add("max-waiting", options.maxWaiting, "runs that may wait");
    add("cold-running", options.maxColdRunning, "concurrent runs that the engine can handle while cold");
    add("cold-runs", options.warmUpRuns, "finished runs after which a cold engine is warm; 0 starts warm");
    add("weights-from", options.weightsAddress, "IP:PORT of the platform; empty for a fixed load time");
    add("fall-over-ms", timeOptions.fallOver, "how long the engine refuses runs after an overload while cold");
    add("event-lag-ms", timeOptions.eventLag, "delay of cache events");
    add("load-lag-ms", timeOptions.loadLag, "age of load reports");
    add("load-ms", timeOptions.loadTime, "minimum load time");
    text.add_options()("checks-fencing", po::bool_switch(&options.enforcesFencing), "refuse orders with an old fence");
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    EngineOptions options;
    MillisecondOptions timeOptions;
    const auto common = parseCommandLine(argc, argv, describeOptions(options, timeOptions));
    options.overloadRefusalTime = std::chrono::milliseconds(timeOptions.fallOver);
    options.eventLag = std::chrono::milliseconds(timeOptions.eventLag);
    options.loadLag = std::chrono::milliseconds(timeOptions.loadLag);
    options.minLoadTime = std::chrono::milliseconds(timeOptions.loadTime);

    httplib::Server server;
    EngineProcess process(options, server, common.seed);
    registerRuns(server, process);
    registerReports(server, process);
    std::thread([&process] { runEngine(process); }).detach();
    return serve(server, common.listen);
}
