#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "../core/core.hpp"
#include "message.hpp"

namespace oleanderwick::http
{

namespace internal
{
class ClientState;
} // namespace internal

/** @brief Blocking client of one server, for one thread; keeps its connection between calls. */
class Client
{
public:
    /** @brief Takes each line of a stream, and nothing now and then; false ends it. */
    using OnLine = std::function<bool(const std::optional<std::string> &)>;

    /**
     * @brief Prepares a client; connects with the first call.
     * @param endpoint Server to talk to.
     */
    explicit Client(Endpoint endpoint);
    ~Client();
    Client(Client &&) noexcept;
    Client &operator=(Client &&) noexcept;

    /**
     * @brief Sends a request and waits for its whole response.
     * @param request Request to send.
     * @param timeout Longest time for all of it.
     * @return The response; `Unavailable` if nothing was sent; `DeadlineExceeded` if it may have been taken.
     */
    [[nodiscard]] absl::StatusOr<Response> exchange(const Request &request, core::Duration timeout);

    /**
     * @brief Sends a request and reads its response line by line as it comes.
     * @param request Request to send.
     * @param timeout Longest time until the response starts.
     * @param onLine Takes the lines.
     * @return Why it ended.
     */
    [[nodiscard]] absl::Status stream(const Request &request, core::Duration timeout, const OnLine &onLine);

private:
    std::unique_ptr<internal::ClientState> m_state;
};

} // namespace oleanderwick::http
