#pragma once

#include <string>

#include "../core/core.hpp"
#include "../http/http.hpp"

namespace oleanderwick::node
{

/**
 * @brief Creates the error response for a refused request.
 * @param refusal Status, outcome, reason and delay before a retry.
 * @return Response with an `application/problem+json` body and, if the delay is positive, `Retry-After`.
 */
[[nodiscard]] http::Response problem(const core::Refusal &refusal);

/**
 * @brief Creates an error response of the operator API.
 * @param status HTTP status.
 * @param reason Short machine-readable reason.
 * @param detail Human-readable explanation.
 * @return Response with an `application/problem+json` body.
 */
[[nodiscard]] http::Response operatorProblem(int status, const std::string &reason, const std::string &detail);

/**
 * @brief Creates a JSON response.
 * @param body JSON text.
 * @return Response with status 200.
 */
[[nodiscard]] http::Response jsonResponse(std::string body);

} // namespace oleanderwick::node
