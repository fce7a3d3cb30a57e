#include <catch2/catch.hpp>

#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "oleanderwick/http/http.hpp"

namespace http = oleanderwick::http;

TEST_CASE("ListenerWatch reports many refusals of one kind once, and exports their sum", "[http]")
{
    http::Loop loop;
    http::Server server{loop, http::ServerLimits{}, [](const http::Request &, const http::Responder &) {
                        }};
    http::ListenerWatch watch;
    watch.add("callers", server);
    boost::asio::io_context context;
    const std::uint16_t port = server.listen("127.0.0.1:0").value();
    constexpr int clients = 5;
    std::vector<boost::asio::ip::tcp::socket> sockets;
    for (int count = 0; count < clients; ++count) {
        sockets.emplace_back(context).connect({boost::asio::ip::address_v4::loopback(), port});
        boost::asio::write(sockets.back(), boost::asio::buffer(std::string{"NONSENSE\r\n\r\n"}));
    }
    std::map<std::string, std::uint64_t> reports;
    loop.every(std::chrono::milliseconds{10}, [&] {
        if (server.figures().malformed == clients) {
            loop.stop();
        }
    });
    loop.run();
    for (int count = 0; count < 2; ++count) {
        watch.report([&reports](const std::string &listener, const char *reason, std::uint64_t added) {
            CHECK(reports.emplace(listener + " " + reason, added).second);
        });
    }
    CHECK(reports == std::map<std::string, std::uint64_t>{{"callers malformed", clients}});
    std::map<std::string, std::int64_t> gauges;
    watch.exportGauges([&gauges](const std::string &name, std::int64_t value) {
        gauges[name] = value;
    });
    CHECK(gauges.at("listener_refusals_total{listener=\"callers\",reason=\"malformed\"}") == clients);
    CHECK(gauges.at("listener_connections{listener=\"callers\"}") == clients);
}
