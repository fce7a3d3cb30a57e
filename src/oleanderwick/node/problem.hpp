#pragma once

#include <string>

#include "../core/core.hpp"
#include "../http/http.hpp"

namespace oleanderwick::node
{

/**
 * @brief Writes a refusal as a caller reads it.
 * @param refusal Refusal to write.
 * @return Response with an `application/problem+json` body.
 */
[[nodiscard]] http::Response problem(const core::Refusal &refusal);

/**
 * @brief Writes an operator's error.
 * @param status HTTP status.
 * @param reason Short machine-readable reason.
 * @param detail Text for people.
 * @return Response with an `application/problem+json` body.
 */
[[nodiscard]] http::Response operatorProblem(int status, const std::string &reason, const std::string &detail);

/**
 * @brief Writes a JSON answer.
 * @param body JSON text.
 * @return Response with status 200.
 */
[[nodiscard]] http::Response jsonAnswer(std::string body);

} // namespace oleanderwick::node
