#pragma once

/** @file
 * @brief Listener on loopback with one thread for each connection; for stubs and tests only.
 */

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace oleanderwick::stub
{

/** @brief Accepts connections and serves each on its own thread until the object is destroyed. */
class ThreadServer
{
public:
    /** @brief Accepted connection. */
    using Socket = boost::asio::ip::tcp::socket;
    /** @brief Serves one connection; the connection is closed when it returns. */
    using Serve = std::function<void(Socket &)>;

    /**
     * @brief Starts to listen on 127.0.0.1.
     * @param port Port; 0 for any free one.
     * @param serve Serves each connection; called on its thread.
     */
    ThreadServer(std::uint16_t port, Serve serve)
        : m_serve{std::move(serve)}
        , m_acceptor{m_context, {boost::asio::ip::address_v4::loopback(), port}}
        , m_listener{[this] {
            accept();
        }}
    {
    }

    ~ThreadServer()
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

    ThreadServer(const ThreadServer &) = delete;
    ThreadServer &operator=(const ThreadServer &) = delete;

    /** @return Port that it listens on. */
    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    /** @return Number of connections accepted so far. */
    [[nodiscard]] std::size_t connections() const
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        return m_connections.size();
    }

    /** @return True once the destructor has started. */
    [[nodiscard]] bool stopping() const noexcept
    {
        return m_stopping;
    }

private:
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
                m_serve(connection);
                closeConnection(connection);
            });
        }
    }

    void closeConnection(Socket &socket)
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        std::erase(m_sockets, socket.native_handle());
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    Serve m_serve;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping{false};
    mutable std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_connections;
    std::thread m_listener;
};

} // namespace oleanderwick::stub
