#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "fwd.hpp"

namespace oleanderwick::http
{

/** @brief One header field. */
struct Header {
    std::string name;
    std::string value;

    [[nodiscard]] bool operator==(const Header &) const = default;
};

/** @brief Whole HTTP request. */
struct Request {
    std::string method{"GET"};
    std::string target{"/"};
    std::vector<Header> headers;
    std::string body;

    [[nodiscard]] bool operator==(const Request &) const = default;
};

/** @brief Whole HTTP response. */
struct Response {
    int status{200};
    std::vector<Header> headers;
    std::string body;

    [[nodiscard]] bool operator==(const Response &) const = default;
};

/** @brief IP number and port. */
struct Endpoint {
    std::string host;
    std::uint16_t port{};

    [[nodiscard]] bool operator==(const Endpoint &) const = default;
};

/**
 * @brief Finds a header; names do not mind case.
 * @param headers Headers to search.
 * @param name Name of the header.
 * @return Its value, or null.
 */
[[nodiscard]] const std::string *findHeader(const std::vector<Header> &headers, std::string_view name);

/**
 * @brief Removes what belongs to one connection only (RFC 9110, 7.6.1), and lengths, which are written anew.
 * @param headers Headers to clean.
 */
void removeHopByHop(std::vector<Header> &headers);

/**
 * @brief Reads an address.
 * @param text `127.0.0.1:80`.
 * @return The endpoint, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<Endpoint> parseEndpoint(const std::string &text);

} // namespace oleanderwick::http
