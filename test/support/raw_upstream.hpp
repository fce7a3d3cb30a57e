#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "stub/thread_server.hpp"

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
        : m_server{0, [this](Socket &socket) {
                       serve(socket);
                   }}
    {
    }

    RawUpstream(const RawUpstream &) = delete;
    RawUpstream &operator=(const RawUpstream &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server.port());
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
        return static_cast<int>(m_server.connections());
    }

    void setManner(Manner manner)
    {
        m_manner = manner;
    }

private:
    using Socket = stub::ThreadServer::Socket;

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

    std::atomic<Manner> m_manner{Manner::Answer};
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    stub::ThreadServer m_server;
};

} // namespace oleanderwick::test
