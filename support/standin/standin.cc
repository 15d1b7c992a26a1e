#include "standin.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace goldcrestwood::standin {

namespace {

    constexpr std::chrono::seconds clientTimeout { 5 };
    constexpr std::chrono::milliseconds silencePoll { 50 };
    constexpr std::size_t maxBodyBytes = 64U << 20U;
    constexpr std::size_t maxCallsPerConnection = 100000;
    constexpr std::time_t keepAliveSeconds = 60;

    std::atomic<std::uint64_t> silenceGeneration { 0 };
    thread_local std::uint64_t connectionGeneration = 0;

    /// Serves each connection on its own thread, so that a silent connection blocks no other.
    class ThreadPerConnection : public httplib::TaskQueue {
    public:
        void enqueue(std::function<void()> serveConnection) override
        {
            std::thread([serveConnection = std::move(serveConnection)] {
                connectionGeneration = silenceGeneration;
                serveConnection();
            }).detach();
        }

        void shutdown() override { }
    };

    std::string hostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

    int portOf(const std::string& address) { return std::atoi(address.c_str() + address.rfind(':') + 1); }

} // namespace

CommonOptions parseCommandLine(int argc, char** argv, boost::program_options::options_description options)
{
    namespace po = boost::program_options;
    CommonOptions common;
    options.add_options()("help", "print this text")("listen", po::value(&common.listen)->required(), "IP:PORT")(
        "seed", po::value(&common.seed)->default_value(1), "seed of the random faults");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0) {
            std::cout << options << "\nPOST /faults sets faults at run time; GET /faults names them.\n"
                      << "silence_open_connections makes the currently open connections silent permanently.\n";
            std::exit(0);
        }
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n";
        std::exit(2);
    }
    return common;
}

int serve(httplib::Server& server, const std::string& listen)
{
    server.new_task_queue = [] { return new ThreadPerConnection; };
    server.set_keep_alive_max_count(maxCallsPerConnection);
    server.set_keep_alive_timeout(keepAliveSeconds);
    server.set_payload_max_length(maxBodyBytes);
    server.set_tcp_nodelay(true);
    if (!server.bind_to_port(hostOf(listen), portOf(listen))) {
        std::cerr << "can't bind " << listen << "\n";
        return 1;
    }
    server.listen_after_bind();
    return 0;
}

void silenceOpenConnections() { ++silenceGeneration; }

void waitWhileSilent()
{
    while (connectionGeneration < silenceGeneration)
        std::this_thread::sleep_for(silencePoll);
}

void answerJson(httplib::Response& response, const nlohmann::json& body, int status)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

std::string toHex(std::uint64_t value)
{
    constexpr std::size_t hexDigits = 16;
    std::array<char, hexDigits + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

httplib::Client makeClient(const std::string& address)
{
    httplib::Client client(hostOf(address), portOf(address));
    client.set_connection_timeout(clientTimeout);
    client.set_read_timeout(clientTimeout);
    client.set_write_timeout(clientTimeout);
    client.set_tcp_nodelay(true);
    return client;
}

} // namespace goldcrestwood::standin
