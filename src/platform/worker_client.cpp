#include "worker_client.hpp"

#include <map>
#include <stdexcept>

#include "field_reader.hpp"
#include "oleanderwick/core/json_reading.hpp"
#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

constexpr core::Duration commandTimeout = std::chrono::milliseconds{800};
/** Added to the wait of a poll for the transfer of the reply. */
constexpr core::Duration pollMargin = std::chrono::milliseconds{800};
constexpr int otherIncarnationStatus = 421;
/** Workers return at most so many run ends; further ones follow after an acknowledgement. */
constexpr std::size_t maxReportedEnds = 500;

/** A report lists the runs on one worker and at most 500 ends. */
constexpr std::size_t maxReportBytes = 2U << 20U;
constexpr std::size_t maxCommandReplyBytes = 64U << 10U;

/** Commands to one worker that are in flight at once; a new connection for each of many would cost more than waiting for the one before. */
constexpr std::size_t maxConcurrentCommands = 2;

http::Exchange makePoll(const std::string &address, const std::string &worker, const json &body, core::Duration timeout, core::TimePoint sendBefore)
{
    http::Exchange exchange = makeExchange(address, "POST", "/v1/hold", body, timeout);
    exchange.maxResponseBytes = maxReportBytes;
    exchange.request.headers.push_back({expectedWorkerHeader, worker});
    exchange.sendBefore = sendBefore;
    return exchange;
}

http::Exchange makeCommand(const std::string &address, const std::string &worker, const char *target, const json &body, core::TimePoint sendBefore)
{
    http::Exchange exchange = makeExchange(address, "POST", target, body, commandTimeout);
    exchange.maxResponseBytes = maxCommandReplyBytes;
    exchange.request.headers.push_back({expectedWorkerHeader, worker});
    exchange.maxConcurrent = maxConcurrentCommands;
    exchange.sendBefore = sendBefore;
    return exchange;
}

std::optional<jobs::RunEndKind> endKind(const std::string &text)
{
    static const std::map<std::string, jobs::RunEndKind> kinds{
        {"done", jobs::RunEndKind::Done},
        {"failed", jobs::RunEndKind::Failed},
        {"stopped", jobs::RunEndKind::Stopped},
        {"lapsed", jobs::RunEndKind::LeaseExpired},
        {"broken", jobs::RunEndKind::GangBroken},
        {"alone", jobs::RunEndKind::GangIncomplete},
    };
    const auto found = kinds.find(text);
    return found == kinds.end() ? std::nullopt : std::optional<jobs::RunEndKind>{found->second};
}

jobs::StartOutcome startOutcome(const http::ExchangeResult &result, const json &body)
{
    static const std::map<std::string, jobs::StartOutcome> reasons{
        {"fence", jobs::StartOutcome::Fenced},
        {"old", jobs::StartOutcome::Outdated},
        {"late", jobs::StartOutcome::TooLate},
        {"room", jobs::StartOutcome::NoRoom},
        {"ticket", jobs::StartOutcome::NoTicket},
    };
    if (result.outcome != routing::ExchangeOutcome::Complete) {
        return certainlyNotSent(result.outcome) ? jobs::StartOutcome::NotSent : jobs::StartOutcome::Unknown;
    }
    switch (result.response.status) {
    case 200:
        return jobs::StartOutcome::Started;
    case 400:
        return jobs::StartOutcome::Invalid;
    case 409: {
        const auto reason = reasons.find(readString(body, "reason"));
        return reason == reasons.end() ? jobs::StartOutcome::Outdated : reason->second;
    }
    case otherIncarnationStatus:
        return jobs::StartOutcome::OtherIncarnation;
    case 429:
    case 503:
        return jobs::StartOutcome::Unhealthy;
    default:
        return jobs::StartOutcome::Unknown;
    }
}

/** Returns a number of a row; throws if it is no counter. */
std::int64_t readCounter(const json &row, std::size_t column)
{
    const std::int64_t value = row.at(column).get<std::int64_t>();
    if (value < counterRange.least || value > counterRange.most) {
        throw std::out_of_range("a number is out of range");
    }
    return value;
}

/** Returns the rows of a list in an object, none if the object lacks it; throws if it is no object. */
const json &rowsOf(const json &object, const char *name)
{
    static const json none = json::array();
    return object.contains(name) ? object.at(name) : none;
}

std::optional<jobs::TaskName> readTaskName(const json &row, std::size_t column)
{
    return row.at(column).is_string() ? jobs::parseTaskName(row.at(column).get_ref<const std::string &>()) : std::nullopt;
}

} // namespace internal

WorkerClient::WorkerClient(http::UpstreamConnections &connections)
    : m_connections{connections}
{
}

void WorkerClient::start(const jobs::StartCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::StartReply)> onReply)
{
    json body{{"task", jobs::toText(command.task)},
              {"run", command.run},
              {"spec", command.spec},
              {"deadline_ms", command.deadlineMs},
              {"fencing_token", permit.token}};
    if (!command.checkpoint.empty()) {
        body["checkpoint"] = command.checkpoint;
    }
    if (!command.ticket.empty()) {
        body["ticket"] = command.ticket;
    }
    m_connections.start(internal::makeCommand(command.address, command.worker, "/v1/run-start", body, permit.sendBefore),
                        [reply = std::move(onReply)](const http::ExchangeResult &result) {
                            const json replyBody = parseObject(result.response.body);
                            reply(jobs::StartReply{internal::startOutcome(result, replyBody), readInteger(replyBody, "clock_ms")});
                        });
}

void WorkerClient::stop(const jobs::StopCommand &command, const jobs::CommandPermit &permit, std::function<void(bool)> onReply)
{
    const json body{{"task", jobs::toText(command.task)}, {"run", command.run}, {"fencing_token", permit.token}};
    m_connections.start(internal::makeCommand(command.address, command.worker, "/v1/run-stop", body, permit.sendBefore),
                        [reply = std::move(onReply)](const http::ExchangeResult &result) {
                            reply(result.outcome == routing::ExchangeOutcome::Complete && result.response.status == 200);
                        });
}

void WorkerClient::pace(const jobs::PaceCommand &command, const jobs::CommandPermit &permit)
{
    const json body{{"task", jobs::toText(command.task)}, {"run", command.run}, {"percent", command.percent}, {"fencing_token", permit.token}};
    m_connections.start(internal::makeCommand(command.address, command.worker, "/v1/pace", body, permit.sendBefore), [](const http::ExchangeResult &) {
        // A lost command is not repeated; the worker keeps its old pace until the scheduler next changes the pace of the run.
    });
}

void WorkerClient::poll(const jobs::PollCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::PollReply)> onReply)
{
    json body{{"fencing_token", permit.token}, {"ack_cursor", command.ackedEnd}, {"wait_ms", command.waitMs}};
    if (command.deadlineMs > 0) {
        body["deadline_ms"] = command.deadlineMs;
    }
    const core::Duration timeout = std::chrono::milliseconds{command.waitMs} + internal::pollMargin;
    m_connections.start(internal::makePoll(command.address, command.worker, body, timeout, permit.sendBefore),
                        [reply = std::move(onReply)](const http::ExchangeResult &result) {
                            jobs::PollReply pollReply;
                            if (result.outcome == routing::ExchangeOutcome::Complete && result.response.status == 200) {
                                const std::optional<jobs::WorkerReport> report = parseReport(result.response.body);
                                pollReply.kind = report.has_value() ? jobs::PollReply::Kind::Reported : jobs::PollReply::Kind::NoReply;
                                pollReply.report = report.value_or(jobs::WorkerReport{});
                            } else if (result.outcome == routing::ExchangeOutcome::Complete && result.response.status == internal::otherIncarnationStatus) {
                                pollReply.kind = jobs::PollReply::Kind::Gone;
                            } else if (result.outcome == routing::ExchangeOutcome::Complete && result.response.status == 409) {
                                pollReply.kind = jobs::PollReply::Kind::Fenced;
                            }
                            reply(std::move(pollReply));
                        });
}

std::optional<jobs::WorkerReport> parseReport(std::string_view text)
{
    try {
        const json body = core::parseJsonOrDiscard(text);
        jobs::WorkerReport report;
        report.clockMs = body.at("clock_ms").get<std::int64_t>();
        report.incarnation = readInteger(body, "born");
        for (const json &row : internal::rowsOf(body, "running")) {
            const std::optional<jobs::TaskName> task = internal::readTaskName(row, 0);
            if (!task.has_value()) {
                return std::nullopt;
            }
            const std::int64_t measurement = row.size() > 4 ? static_cast<std::int64_t>(row.at(4).get<double>()) : 0;
            const std::int64_t percent = static_cast<std::int64_t>(row.at(3).get<double>());
            report.running.push_back({*task, internal::readCounter(row, 1), row.at(2).get<std::string>(), percent, measurement});
        }
        for (const json &row : internal::rowsOf(body, "ended")) {
            const std::optional<jobs::TaskName> task = internal::readTaskName(row, 1);
            const std::optional<jobs::RunEndKind> kind = internal::endKind(row.at(3).get<std::string>());
            if (!task.has_value() || !kind.has_value()) {
                return std::nullopt;
            }
            report.ended.push_back({internal::readCounter(row, 0), *task, internal::readCounter(row, 2), *kind, row.at(4).get<std::string>()});
        }
        report.endsTruncated = report.ended.size() >= internal::maxReportedEnds;
        return report;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace oleanderwick::platform
