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

/** @brief Upstream on plain sockets that answers requests with a given behavior, such as a protocol error, and counts runs by request id. */
class RawUpstream
{
public:
    /** @brief What the upstream does with a request. */
    enum class Behavior {
        Answer,
        AnswerChunked,
        CloseAtOnce, /**< Closes the connection before the request is read. */
        CloseAfterRequest,
        CloseWithinHeader,
        CloseWithinBody,
        CloseWithinChunks,
        UntilClose, /**< Sends a response without a length, which ends with the connection. */
        Silent,
        OtherRequest, /**< Echoes the id of another request. */
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

    [[nodiscard]] int maxRunsPerId() const
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        int highest = 0;
        for (const std::pair<const std::string, int> &entry : m_runs) {
            highest = std::max(highest, entry.second);
        }
        return highest;
    }

    [[nodiscard]] int connections() const
    {
        return static_cast<int>(m_server.connections());
    }

    void setBehavior(Behavior behavior)
    {
        m_behavior = behavior;
    }

private:
    using Socket = stub::ThreadServer::Socket;

    void serve(Socket &socket)
    {
        std::string buffer;
        boost::system::error_code error;
        while (!error && m_behavior != Behavior::CloseAtOnce) {
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
        const Behavior behavior = m_behavior;
        if (behavior != Behavior::RefuseNotRun) {
            const std::lock_guard<std::mutex> lock{m_mutex};
            ++m_runs[id];
        }
        const std::string head = "HTTP/1.1 200 OK\r\nOleanderwick-Request-Id: " + id + "\r\n";
        switch (behavior) {
        case Behavior::Answer:
            return send(socket, head + "Content-Length: 5\r\n\r\nwhole");
        case Behavior::AnswerChunked:
            return send(socket, head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n");
        case Behavior::CloseWithinHeader:
            send(socket, "HTTP/1.1 200 O");
            return false;
        case Behavior::CloseWithinBody:
            send(socket, head + "Content-Length: 5\r\n\r\nwho");
            return false;
        case Behavior::CloseWithinChunks:
            send(socket, head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n");
            return false;
        case Behavior::UntilClose:
            send(socket, head + "Connection: close\r\n\r\nwhole");
            return false;
        case Behavior::Silent:
            return true;
        case Behavior::OtherRequest:
            return send(socket, "HTTP/1.1 200 OK\r\nOleanderwick-Request-Id: another\r\nContent-Length: 5\r\n\r\nwrong");
        case Behavior::RefuseNotRun:
            return send(socket, "HTTP/1.1 503 Busy\r\nOleanderwick-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
        case Behavior::TooLarge:
            return send(socket, head + "Content-Length: 100000000\r\n\r\nstart");
        case Behavior::Malformed:
            send(socket, "EHLO\r\n\r\n");
            return false;
        case Behavior::CloseAtOnce:
        case Behavior::CloseAfterRequest:
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

    std::atomic<Behavior> m_behavior{Behavior::Answer};
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    stub::ThreadServer m_server;
};

} // namespace oleanderwick::test
