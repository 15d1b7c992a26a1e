#include "daemon/http_client.h"

#include <httplib.h>

#include "daemon/framing.h"

namespace goldcrestwood {

namespace {

    httplib::Client makeClient(const std::string& address, Duration timeout)
    {
        const auto [host, port] = splitAddress(address);
        httplib::Client client(host, port);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
        client.set_tcp_nodelay(true);
        return client;
    }

    httplib::Request makeRequest(const HttpCall& call)
    {
        httplib::Request request;
        request.method = call.method;
        request.path = call.path;
        request.body = call.body;
        if (!call.body.empty() || call.method != "GET")
            request.set_header("Content-Type", call.contentType);
        for (const auto& [name, value] : call.headers)
            request.set_header(name, value);
        return request;
    }

    HttpFailure failureOf(httplib::Error error)
    {
        switch (error) {
        case httplib::Error::Connection:
        case httplib::Error::BindIPAddress:
        case httplib::Error::ConnectionTimeout:
            return HttpFailure::NotSent;
        default:
            return HttpFailure::NoAnswer;
        }
    }

    HttpResult send(httplib::Client& client, const HttpCall& call)
    {
        const auto result = client.send(makeRequest(call));
        if (!result)
            return tl::unexpected(failureOf(result.error()));
        if (!isFinalStatus(static_cast<unsigned>(result->status)))
            return tl::unexpected(HttpFailure::NoAnswer);
        HttpResponse response { result->status, result->get_header_value("Content-Type"), result->body, {} };
        for (const auto& [name, value] : result->headers)
            response.headers.push_back({ name, value });
        return response;
    }

} // namespace

std::pair<std::string, std::uint16_t> splitAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[')
        host = host.substr(1, host.size() - 2);
    return { host, static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
}

HttpResult httpCall(const std::string& address, const HttpCall& call, Duration timeout)
{
    auto client = makeClient(address, timeout);
    return send(client, call);
}

StreamEnd httpStream(const std::string& address, const HttpCall& call, Duration timeout, const ChunkHandler& onChunk)
{
    StreamEnd end;
    auto client = makeClient(address, timeout);
    auto request = makeRequest(call);
    request.response_handler = [&end](const httplib::Response& response) {
        end.status = response.status;
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t) {
        return end.status != 200 || onChunk({ data, length });
    };
    const auto result = client.send(request);
    end.complete = result && isFinalStatus(static_cast<unsigned>(result->status));
    end.sent = result || failureOf(result.error()) == HttpFailure::NoAnswer;
    return end;
}

struct HttpConnection::State {
    httplib::Client client;
};

HttpConnection::HttpConnection(std::string peerAddress, Duration exchangeTimeout)
    : address(std::move(peerAddress))
    , timeout(exchangeTimeout)
{
}

HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;
HttpConnection::~HttpConnection() = default;

HttpResult HttpConnection::call(const HttpCall& call)
{
    if (!this->state) {
        this->state = std::make_unique<State>(State { makeClient(this->address, this->timeout) });
        this->state->client.set_keep_alive(true);
    }
    auto result = send(this->state->client, call);
    if (!result)
        this->state.reset();
    return result;
}

} // namespace goldcrestwood
