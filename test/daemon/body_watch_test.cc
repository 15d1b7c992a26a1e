#include <catch2/catch.hpp>

#include <boost/asio.hpp>

#include "daemon/body_watch.h"

using namespace goldcrestwood;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// An accepted connection and its client.
struct Connection {
    Connection()
    {
        tcp::acceptor acceptor(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        this->client.connect(acceptor.local_endpoint());
        acceptor.accept(this->accepted);
    }

    ConnectionEnds ends() const
    {
        const auto remote = this->accepted.remote_endpoint();
        return { remote.address().to_string(), remote.port(), this->accepted.local_endpoint().port() };
    }

    asio::io_context loop;
    tcp::socket client { loop };
    tcp::socket accepted { loop };
};

} // namespace

TEST_CASE("a connection ends when a read on it takes too long, and no other one does")
{
    Connection slow;
    Connection other;
    std::array<char, 1> byte {};
    boost::system::error_code error;
    BodyWatch watch(std::chrono::milliseconds(20));
    {
        const BodyWatch::Read read(watch, slow.ends());
        slow.accepted.read_some(asio::buffer(byte), error);
    }
    CHECK(error == asio::error::eof);
    other.client.write_some(asio::buffer(byte));
    CHECK(other.accepted.read_some(asio::buffer(byte)) == 1);
}
