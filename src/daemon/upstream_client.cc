#include "daemon/upstream_client.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace goldcrestwood {

namespace {

    using nlohmann::json;

    std::string hexHash(std::uint64_t hash)
    {
        constexpr const char* digits = "0123456789abcdef";
        constexpr int hashDigits = 16;
        std::string text(hashDigits, '0');
        for (int i = hashDigits - 1; i >= 0; --i, hash >>= 4U)
            text[static_cast<std::size_t>(i)] = digits[hash & 0xfU];
        return text;
    }

    std::uint64_t parseHash(const std::string& text)
    {
        constexpr int base = 16;
        std::uint64_t hash = 0;
        std::from_chars(text.data(), text.data() + text.size(), hash, base);
        return hash;
    }

    /// Splits a byte stream into the data of server-sent events.
    class EventSplitter {
    public:
        template <typename Handler>
        bool feed(std::string_view bytes, const Handler& onData)
        {
            this->pending.append(bytes);
            std::size_t begin = 0;
            for (auto end = this->pending.find("\n\n"); end != std::string::npos; end = this->pending.find("\n\n", begin)) {
                std::string_view event(this->pending.data() + begin, end - begin);
                begin = end + 2;
                constexpr std::string_view prefix = "data: ";
                if (event.substr(0, prefix.size()) == prefix && !onData(event.substr(prefix.size())))
                    return false;
            }
            this->pending.erase(0, begin);
            return true;
        }

    private:
        std::string pending;
    };

    EngineChunk parseChunk(std::string_view text)
    {
        EngineChunk chunk;
        const auto data = json::parse(text, nullptr, false);
        if (!data.is_object())
            return chunk;
        chunk.requestId = data.value("request_id", "");
        chunk.runId = data.value("run_id", "");
        chunk.finished = data.contains("finish");
        chunk.index = data.value("index", std::uint64_t { 0 });
        chunk.token = data.value("token", "");
        chunk.tokenCount = data.value("tokens", std::uint64_t { 0 });
        chunk.cachedTokens = data.value("cached_tokens", std::uint64_t { 0 });
        return chunk;
    }

    StreamEnd streamChunks(const std::string& address, const HttpCall& call, Duration timeout, const EngineChunkHandler& onChunk)
    {
        EventSplitter splitter;
        return httpStream(address, call, timeout, [&](std::string_view bytes) {
            return splitter.feed(bytes, [&](std::string_view data) { return onChunk(parseChunk(data)); });
        });
    }

    tl::expected<json, HttpFailure> callJson(const std::string& address, const HttpCall& call, Duration timeout)
    {
        const auto result = httpCall(address, call, timeout);
        if (!result)
            return tl::unexpected(result.error());
        auto data = json::parse(result->body, nullptr, false);
        if (result->status != 200 || !data.is_object())
            return tl::unexpected(HttpFailure::NoAnswer);
        return data;
    }

    tl::expected<std::vector<std::uint64_t>, HttpFailure> transferBlocks(const std::string& address, const char* path, const char* resultKey,
        const std::vector<std::uint64_t>& hashes, const std::string& store, Duration timeout)
    {
        json body = { { "hashes", json::array() }, { "store", store },
            { "deadline_ms", std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count() } };
        for (const auto hash : hashes)
            body["hashes"].push_back(hexHash(hash));
        const auto data = callJson(address, { "POST", path, body.dump(), "application/json", {} }, timeout);
        if (!data)
            return tl::unexpected(data.error());
        std::vector<std::uint64_t> result;
        const auto transferredHashes = data->value(resultKey, json::array());
        for (const auto& hash : transferredHashes)
            result.push_back(parseHash(hash.get<std::string>()));
        return result;
    }

    const char* toString(OrderKind kind)
    {
        switch (kind) {
        case OrderKind::Load:
            return "load";
        case OrderKind::Adapter:
            return "adapter";
        case OrderKind::Role:
            return "role";
        }
        return "unknown";
    }

} // namespace

StreamEnd startRun(const std::string& address, const EngineRequest& request, Duration timeout, const EngineChunkHandler& onChunk)
{
    const json body = {
        { "request_id", request.requestId },
        { "run_id", request.runId },
        { "prompt", request.prompt },
        { "max_tokens", request.maxTokens },
        { "priority", request.priority },
        { "account", request.account.value },
        { "version", request.version.value },
        { "start_token", request.startToken },
        { "seed", request.seed },
    };
    return streamChunks(address, { "POST", "/v1/completions", body.dump(), "application/json", {} }, timeout, onChunk);
}

StreamEnd resumeRun(const std::string& address, const std::string& runId, std::uint64_t from, Duration timeout, const EngineChunkHandler& onChunk)
{
    const auto path = "/v1/runs/" + runId + "?from=" + std::to_string(from);
    return streamChunks(address, { "GET", path, "", "application/json", {} }, timeout, onChunk);
}

void cancelRun(const std::string& address, const std::string& runId, Duration timeout)
{
    (void)httpCall(address, { "DELETE", "/v1/runs/" + runId, "", "application/json", {} }, timeout);
}

tl::expected<CacheEvents, HttpFailure> readCacheEvents(const std::string& address, std::uint64_t sequence, Duration timeout)
{
    const auto data = callJson(address, { "GET", "/v1/events?after=" + std::to_string(sequence), "", "", {} }, timeout);
    if (!data)
        return tl::unexpected(data.error());
    CacheEvents result;
    result.epoch = data->value("epoch", std::uint64_t { 0 });
    result.last = data->value("last", std::uint64_t { 0 });
    const auto events = data->value("events", json::array());
    for (const auto& event : events) {
        result.events.push_back({ event.value("seq", std::uint64_t { 0 }), event.value("kind", "") == "stored",
            parseHash(event.value("hash", "")), event.value("tier", "") == "disk" });
    }
    return result;
}

tl::expected<EngineLoad, HttpFailure> readLoad(const std::string& address, Duration timeout)
{
    const auto data = callJson(address, { "GET", "/v1/load", "", "", {} }, timeout);
    if (!data)
        return tl::unexpected(data.error());
    return EngineLoad { data->value("epoch", std::uint64_t { 0 }), data->value("running", 0U), data->value("waiting", 0U),
        VersionName(data->value("version", "")) };
}

OrderResult sendOrder(const std::string& address, OrderKind kind, const std::string& value, std::uint64_t fence, Duration timeout)
{
    const json body = { { "kind", toString(kind) }, { "value", value }, { "fence", fence } };
    const auto result = httpCall(address, { "POST", "/v1/orders", body.dump(), "application/json", {} }, timeout);
    if (!result)
        return result.error() == HttpFailure::NotSent ? OrderResult::Failed : OrderResult::Unknown;
    constexpr int preconditionFailed = 412;
    if (result->status == preconditionFailed)
        return OrderResult::StaleFence;
    return result->status == 200 ? OrderResult::Done : OrderResult::Failed;
}

tl::expected<std::vector<std::uint64_t>, HttpFailure> exportBlocks(
    const std::string& address, const std::vector<std::uint64_t>& hashes, const std::string& store, Duration timeout)
{
    return transferBlocks(address, "/v1/cache/export", "exported", hashes, store, timeout);
}

tl::expected<std::vector<std::uint64_t>, HttpFailure> importBlocks(
    const std::string& address, const std::vector<std::uint64_t>& hashes, const std::string& store, Duration timeout)
{
    return transferBlocks(address, "/v1/cache/import", "imported", hashes, store, timeout);
}

} // namespace goldcrestwood
