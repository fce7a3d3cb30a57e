#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace oleanderwick::test
{

/** @brief Upstream over plain sockets that misbehaves in a given way, and counts runs by request id. */
class RawUpstream
{
public:
    /** @brief What it does with a request. */
    enum class Manner {
        Answer,
        AnswerChunked,
        CloseAtOnce, /**< Before the request is read. */
        CloseAfterRequest,
        CloseWithinHeader,
        CloseWithinBody,
        CloseWithinChunks,
        UntilClose, /**< An answer without a length. */
        Silent,
        OtherRequest, /**< Echoes another request's id. */
        RefuseNotRun,
        TooLarge,
        Malformed,
    };

    RawUpstream()
        : m_acceptor{m_context, {boost::asio::ip::address_v4::loopback(), 0}}
        , m_listener{[this] {
            accept();
        }}
    {
    }

    ~RawUpstream()
    {
        m_stopping = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_listener.join();
        {
            const std::lock_guard<std::mutex> lock{m_mutex};
            for (const int socket : m_sockets) {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        for (std::thread &connection : m_connections) {
            connection.join();
        }
    }

    RawUpstream(const RawUpstream &) = delete;
    RawUpstream &operator=(const RawUpstream &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    [[nodiscard]] int mostRuns() const
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        int most = 0;
        for (const std::pair<const std::string, int> &entry : m_runs) {
            most = std::max(most, entry.second);
        }
        return most;
    }

    [[nodiscard]] int connections() const
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        return static_cast<int>(m_connections.size());
    }

    void setManner(Manner manner)
    {
        m_manner = manner;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept()
    {
        while (!m_stopping) {
            boost::system::error_code error;
            Socket socket{m_context};
            m_acceptor.accept(socket, error);
            if (error) {
                continue;
            }
            const std::lock_guard<std::mutex> lock{m_mutex};
            m_sockets.push_back(socket.native_handle());
            m_connections.emplace_back([this, connection = std::move(socket)]() mutable {
                serve(connection);
            });
        }
    }

    void serve(Socket &socket)
    {
        std::string buffer;
        boost::system::error_code error;
        while (!error && m_manner != Manner::CloseAtOnce) {
            const std::size_t length = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
            if (error || !answer(socket, buffer.substr(0, length))) {
                break;
            }
            buffer.erase(0, length);
        }
        const std::lock_guard<std::mutex> lock{m_mutex};
        std::erase(m_sockets, socket.native_handle());
        socket.close(error);
    }

    [[nodiscard]] static std::string idOf(const std::string &request)
    {
        const std::string name = "Oleanderwick-Request-Id: ";
        const std::size_t start = request.find(name);
        return start == std::string::npos ? "" : request.substr(start + name.size(), request.find("\r\n", start) - start - name.size());
    }

    [[nodiscard]] bool answer(Socket &socket, const std::string &request)
    {
        const std::string id = idOf(request);
        const Manner manner = m_manner;
        if (manner != Manner::RefuseNotRun) {
            const std::lock_guard<std::mutex> lock{m_mutex};
            ++m_runs[id];
        }
        const std::string head = "HTTP/1.1 200 OK\r\nOleanderwick-Request-Id: " + id + "\r\n";
        switch (manner) {
        case Manner::Answer:
            return send(socket, head + "Content-Length: 5\r\n\r\nwhole");
        case Manner::AnswerChunked:
            return send(socket, head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n");
        case Manner::CloseWithinHeader:
            send(socket, "HTTP/1.1 200 O");
            return false;
        case Manner::CloseWithinBody:
            send(socket, head + "Content-Length: 5\r\n\r\nwho");
            return false;
        case Manner::CloseWithinChunks:
            send(socket, head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n");
            return false;
        case Manner::UntilClose:
            send(socket, head + "Connection: close\r\n\r\nwhole");
            return false;
        case Manner::Silent:
            return true;
        case Manner::OtherRequest:
            return send(socket, "HTTP/1.1 200 OK\r\nOleanderwick-Request-Id: another\r\nContent-Length: 5\r\n\r\nwrong");
        case Manner::RefuseNotRun:
            return send(socket, "HTTP/1.1 503 Busy\r\nOleanderwick-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
        case Manner::TooLarge:
            return send(socket, head + "Content-Length: 100000000\r\n\r\nstart");
        case Manner::Malformed:
            send(socket, "EHLO\r\n\r\n");
            return false;
        case Manner::CloseAtOnce:
        case Manner::CloseAfterRequest:
            return false;
        }
        return false;
    }

    static bool send(Socket &socket, const std::string &text)
    {
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(text), error);
        return !error;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping{false};
    std::atomic<Manner> m_manner{Manner::Answer};
    mutable std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_connections;
    std::map<std::string, int> m_runs;
    std::thread m_listener;
};

} // namespace oleanderwick::test
