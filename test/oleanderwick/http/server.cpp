#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "oleanderwick/http/http.hpp"

namespace http = oleanderwick::http;
namespace asio = boost::asio;

namespace
{

/** Server on its own thread that echoes the target and body of each request. */
class EchoServer
{
public:
    explicit EchoServer(const http::ServerLimits &serverLimits = limits())
        : m_server{m_loop,
                   serverLimits,
                   [this](http::Request request, const http::Responder &respond) {
                       ++m_handled;
                       respond(http::Response{200, {{"X-Target", request.target}}, std::move(request.body)});
                   }}
        , m_port{m_server.listen("127.0.0.1:0").value()}
        , m_thread{[this] {
            m_loop.run();
        }}
    {
    }

    ~EchoServer()
    {
        m_loop.stop();
        m_thread.join();
    }

    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    [[nodiscard]] http::ServerFigures figures()
    {
        std::promise<http::ServerFigures> figures;
        m_loop.post([this, &figures] {
            figures.set_value(m_server.figures());
        });
        return figures.get_future().get();
    }

    [[nodiscard]] int handled() const
    {
        return m_handled;
    }

    /** Sends text unchanged on a new connection and returns all that the server sends until it closes the connection. */
    [[nodiscard]] std::string sendRaw(const std::string &text) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket{context};
        socket.connect({asio::ip::address_v4::loopback(), m_port});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(text), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

private:
    static http::ServerLimits limits()
    {
        http::ServerLimits limits;
        limits.maxHeaderBytes = 1000;
        limits.maxBodyBytes = 100;
        limits.headerTimeout = std::chrono::milliseconds{100};
        limits.bodyTimeout = std::chrono::milliseconds{100};
        return limits;
    }

    http::Loop m_loop;
    std::atomic<int> m_handled{0};
    http::Server m_server;
    std::uint16_t m_port;
    std::thread m_thread;
};

} // namespace

TEST_CASE("Server passes complete requests to its handler and returns complete responses", "[http]")
{
    const EchoServer echo;
    http::Client client{http::Endpoint{"127.0.0.1", echo.port()}};
    for (int count = 0; count < 3; ++count) {
        const absl::StatusOr<http::Response> response = client.exchange(http::Request{"POST", "/x?y", {}, "body"}, std::chrono::seconds{20});
        REQUIRE(response.ok());
        CHECK(response->body == "body");
        CHECK(*http::findHeader(response->headers, "x-target") == "/x?y");
    }
}

TEST_CASE("Server answers a malformed or oversized request with an error and does not call its handler", "[http]")
{
    const EchoServer echo;
    struct Row {
        std::string text;
        std::string status;
    };
    const Row row = GENERATE(values<Row>({
        {"NONSENSE\r\n\r\n", "HTTP/1.1 400"},
        {"GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "HTTP/1.1 431"},
        {"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "HTTP/1.1 413"},
        {"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "HTTP/1.1 400"},
        {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "HTTP/1.1 400"},
    }));
    const std::string answer = echo.sendRaw(row.text);
    CHECK_THAT(answer, Catch::StartsWith(row.status));
    CHECK_THAT(answer, Catch::Contains("not-run"));
    CHECK(echo.handled() == 0);
}

TEST_CASE("Server closes a connection whose request is not complete in time", "[http]")
{
    const EchoServer echo;
    const std::string part = GENERATE(std::string{"GET / HT"}, std::string{"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf"});
    CHECK(echo.sendRaw(part).empty());
    CHECK(echo.handled() == 0);
}

TEST_CASE("A server that is destroyed after its loop has stopped frees its open connections", "[http]")
{
    const std::shared_ptr<std::atomic<int>> handled = std::make_shared<std::atomic<int>>(0);
    {
        http::Loop loop;
        http::Server server{loop, http::ServerLimits{}, [handled, &loop](const http::Request &, const http::Responder &respond) {
                                respond(http::Response{200, {}, {}});
                                ++*handled;
                                loop.stop();
                            }};
        const std::uint16_t port = server.listen("127.0.0.1:0").value();
        asio::io_context context;
        asio::ip::tcp::socket socket{context};
        socket.connect({asio::ip::address_v4::loopback(), port});
        asio::write(socket, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"}));
        loop.run();
        CHECK(*handled == 1);
        // The client keeps its connection open, so only the destruction of the server can end the session.
    }
    // The server's state holds the handler and with it the counter.
    CHECK(handled.use_count() == 1);
}

TEST_CASE("A client that sends its whole request although it was refused receives the refusal", "[http]")
{
    const EchoServer echo;
    const std::string head = GENERATE("POST / HTTP/1.1\r\nContent-Length: 3145728\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n300000\r\n");
    const std::string body(3U << 20U, 'a');
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect({asio::ip::address_v4::loopback(), echo.port()});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(head + body), error);
    CHECK_FALSE(error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    CHECK(error == asio::error::eof);
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 413") && Catch::Contains("not-run"));
    CHECK(echo.handled() == 0);
}

TEST_CASE("Server closes the connection of a refused client that does not stop sending", "[http]")
{
    const EchoServer echo;
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect({asio::ip::address_v4::loopback(), echo.port()});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(std::string{"POST / HTTP/1.1\r\nContent-Length: 1000000000000\r\n\r\n"}), error);
    const std::string block(1U << 20U, 'a');
    int blocks = 0;
    while (!error && blocks < 1000) {
        asio::write(socket, asio::buffer(block), error);
        ++blocks;
    }
    CHECK(blocks < 100);
}

TEST_CASE("Server refuses the oldest incomplete request and closes its connection if a new one has no room", "[http]")
{
    http::ServerLimits limits;
    limits.maxConnections = 4;
    EchoServer echo{limits};
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    const std::string start = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    for (int count = 0; count < 5; ++count) {
        sockets.emplace_back(context).connect({asio::ip::address_v4::loopback(), echo.port()});
        asio::write(sockets.back(), asio::buffer(start));
        std::string interim;
        const std::size_t received = asio::read_until(sockets.back(), asio::dynamic_buffer(interim), "\r\n\r\n");
        CHECK(received == interim.size());
    }
    std::string answer;
    boost::system::error_code error;
    asio::read(sockets.front(), asio::dynamic_buffer(answer), error);
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 503") && Catch::Contains("Retry-After: 1") && Catch::Contains("not-run"));
    CHECK(echo.figures().closedForRoom == 1);
    CHECK(echo.figures().connections == 4);
    CHECK(echo.handled() == 0);
}

TEST_CASE("Bytes that arrived before their connection was closed for another one are not handled", "[http]")
{
    int handled = 0;
    http::ServerLimits limits;
    limits.maxConnections = 1;
    http::Loop loop;
    http::Server server{loop, limits, [&handled](const http::Request &request, const http::Responder &respond) {
                            handled += request.target == "/second" ? 1 : 0;
                            respond(http::Response{200, {}, {}});
                        }};
    const std::uint16_t port = server.listen("127.0.0.1:0").value();
    // The first request fills the server's read, so that the second one is read, at once, after the first response. By then an accepted
    // connection waits in the loop's queue, for which the first one is closed before what was read is handled.
    constexpr std::size_t readBytes = 4096;
    std::string requests = "GET /first HTTP/1.1\r\nX: ";
    requests += std::string(readBytes - 4 - requests.size(), 'x') + "\r\n\r\nGET /second HTTP/1.1\r\n\r\n";
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int count = 0; count < 6; ++count) {
        sockets.emplace_back(context).connect({asio::ip::address_v4::loopback(), port});
        asio::write(sockets.back(), asio::buffer(requests));
    }
    loop.after(std::chrono::milliseconds{200}, [&loop] {
        loop.stop();
    });
    loop.run();
    CHECK(server.figures().closedForRoom > 0);
    CHECK(server.figures().serving == 0);
    CHECK(handled + static_cast<int>(server.figures().closedForRoom) <= static_cast<int>(sockets.size()));
}

TEST_CASE("removeHopByHop removes hop-by-hop headers and those that Connection lists", "[http]")
{
    std::vector<http::Header> headers{{"Connection", "close, X-Own"}, {"x-own", "1"}, {"TE", "trailers"}, {"Accept", "*/*"}};
    http::removeHopByHop(headers);
    CHECK(headers == std::vector<http::Header>{{"Accept", "*/*"}});
}
