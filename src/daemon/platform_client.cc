#include "daemon/platform_client.h"

#include <sstream>
#include <tuple>

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

namespace goldcrestwood {

namespace {

    const std::string msgpackType = "application/msgpack";

    std::string recordsPath(const std::string& stream)
    {
        return "/v1/streams/" + stream + "/records";
    }

    std::string packBinaries(const std::vector<std::string>& records)
    {
        msgpack::sbuffer buffer;
        msgpack::packer packer(buffer);
        packer.pack_array(static_cast<std::uint32_t>(records.size()));
        for (const auto& record : records) {
            packer.pack_bin(static_cast<std::uint32_t>(record.size()));
            packer.pack_bin_body(record.data(), static_cast<std::uint32_t>(record.size()));
        }
        return { buffer.data(), buffer.size() };
    }

    LogRecords parseRange(const std::string& body)
    {
        const auto unpacked = msgpack::unpack(body.data(), body.size());
        using WireFormat = std::tuple<std::uint64_t, std::uint64_t, std::vector<std::tuple<std::uint64_t, std::string>>>;
        auto [firstRetained, next, records] = unpacked.get().as<WireFormat>();
        LogRecords range { firstRetained, next, {} };
        range.records.reserve(records.size());
        for (auto& [offset, bytes] : records)
            range.records.push_back({ offset, std::move(bytes) });
        return range;
    }

} // namespace

LogClient::LogClient(std::string logAddress, Duration exchangeTimeout, Duration readWait)
    : address(std::move(logAddress))
    , timeout(exchangeTimeout)
    , wait(readWait)
    , reader(this->address, exchangeTimeout + readWait)
{
}

AppendResult LogClient::append(const std::string& stream, const std::vector<std::string>& records)
{
    const HttpCall call { "POST", recordsPath(stream), packBinaries(records), msgpackType, {} };
    const auto result = httpCall(this->address, call, this->timeout);
    if (!result && result.error() == HttpFailure::NotSent)
        return AppendRejected {};
    if (!result)
        return AppendUnknown {};
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    if (result->status == tooManyRequests || result->status == unavailable)
        return AppendRejected {};
    if (result->status != 200)
        return AppendUnknown {};
    try {
        const auto unpacked = msgpack::unpack(result->body.data(), result->body.size());
        return AppendOk { std::get<0>(unpacked.get().as<std::tuple<std::uint64_t, std::uint64_t>>()) };
    } catch (const std::exception&) {
        return AppendUnknown {};
    }
}

tl::expected<LogRecords, HttpFailure> LogClient::read(const std::string& stream, std::uint64_t offset, std::uint32_t limit)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(this->wait).count();
    std::ostringstream path;
    path << recordsPath(stream) << "?from=" << offset << "&limit=" << limit << "&wait_ms=" << waitMs;
    const auto result = this->reader.call({ "GET", path.str(), "", msgpackType, {} });
    if (!result)
        return tl::unexpected(result.error());
    if (result->status != 200)
        return tl::unexpected(HttpFailure::NoAnswer);
    try {
        return parseRange(result->body);
    } catch (const std::exception&) {
        return tl::unexpected(HttpFailure::NoAnswer);
    }
}

tl::expected<std::vector<ListedInstance>, HttpFailure> listInstances(const std::string& address, Duration timeout)
{
    const auto result = httpCall(address, { "GET", "/v1/instances", "", "application/json", {} }, timeout);
    if (!result)
        return tl::unexpected(result.error());
    if (result->status != 200)
        return tl::unexpected(HttpFailure::NoAnswer);
    try {
        std::vector<ListedInstance> instances;
        const auto body = nlohmann::json::parse(result->body);
        for (const auto& entry : body.at("instances")) {
            instances.push_back({ InstanceId(entry.at("id").get<std::string>()), entry.at("address").get<std::string>(),
                FailureDomain(entry.at("domain").get<std::string>()), Region(entry.value("region", "")), entry.at("state").get<std::string>() == "leaving" });
        }
        return instances;
    } catch (const nlohmann::json::exception&) {
        return tl::unexpected(HttpFailure::NoAnswer);
    }
}

} // namespace goldcrestwood
