#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "world.hpp"
#include "world_state.hpp"

namespace oleanderwick::emulator
{

namespace internal
{

constexpr core::Duration clientTimeout = std::chrono::seconds{3};
constexpr int maxSubmitAttempts = 5;
constexpr core::Duration clientLatency = std::chrono::milliseconds{3};
constexpr core::Duration pollInterval = std::chrono::milliseconds{300};
constexpr core::Duration pendingPollInterval = std::chrono::milliseconds{700};
/** Delay before the next attempt after a submission was answered with `NotRun`. */
constexpr core::Duration retryDelay = std::chrono::seconds{1};
/** Factor on the rate of a queue between its peaks. */
constexpr double offPeakFactor = 0.1;
constexpr double maxLateFactor = 3.0;

} // namespace internal

void Simulation::scheduleEvents()
{
    for (const QueuePlan &queue : m_deployment.queues) {
        if (queue.continuousTasks > 0) {
            m_timeline.at(m_start - std::chrono::seconds{4}, [this, queue] {
                submitJob(queue, true);
            });
        }
        const auto queueIndex = static_cast<std::size_t>(&queue - m_deployment.queues.data());
        double at = 0.0;
        while (at < m_deployment.loadDurationS) {
            const std::size_t peakIndex = static_cast<std::size_t>(at / m_deployment.peakDurationS) % m_deployment.queues.size();
            const double rate = queue.jobsPerSecond * (peakIndex == queueIndex ? m_deployment.peakFactor : internal::offPeakFactor);
            at += std::exponential_distribution<double>{rate}(m_random);
            if (at < m_deployment.loadDurationS) {
                m_timeline.at(m_start + internal::fromS(at), [this, queue] {
                    submitJob(queue, false);
                });
            }
        }
    }
    pollPending();
    for (const Fault &fault : m_deployment.faults) {
        m_timeline.at(m_start + internal::fromS(fault.startS), [this, fault] {
            injectFault(fault);
        });
    }
}

void Simulation::submitJob(const QueuePlan &queue, bool continuous)
{
    constexpr double estimateSigma = 0.3;
    const std::shared_ptr<Client> client = std::make_shared<Client>();
    client->job.id = absl::StrFormat("%016x", ++m_lastJob);
    client->job.queue = queue.name;
    client->job.pool = queue.pool;
    client->job.team = absl::StrCat("team-", std::uniform_int_distribution<int>{0, std::max(m_deployment.teams - 1, 0)}(m_random));
    client->job.spec = absl::StrCat("work of ", client->job.id);
    client->job.maxAttempts = 3;
    client->continuous = continuous;
    const int steps = continuous ? 1 : queue.steps;
    for (int index = 0; index < steps; ++index) {
        jobs::Step step;
        step.count = continuous ? queue.continuousTasks : queue.tasks;
        step.each = {queue.cpu, 200, 0};
        step.estimateMs = static_cast<std::int64_t>(queue.workMs);
        step.continuous = continuous;
        step.savesProgress = m_deployment.savesProgress && !continuous;
        step.speculative = m_deployment.speculative && !continuous;
        step.maxUnavailable = continuous ? 1 : 0;
        step.maxPerWorker = continuous ? queue.continuousPerWorker : 0;
        if (index > 0) {
            step.after = {static_cast<std::size_t>(index - 1)};
        }
        client->job.steps.push_back(step);
        const double factor = std::lognormal_distribution<double>{0.0, estimateSigma}(m_random);
        m_workFactors[absl::StrCat(client->job.id, ".", index)] = factor;
        client->objectiveMs += internal::stretch * factor * queue.workMs;
    }
    client->objectiveMs += static_cast<double>(queue.objectiveMs);
    client->firstSentAt = now();
    client->deadline = now() + internal::clientTimeout;
    m_jobs[client->job.id] = client->job;
    m_checker.submitted(client->job);
    m_report.jobs += continuous ? 0 : 1;
    m_clients.push_back(client);
    submit(client);
}

void Simulation::submit(const std::shared_ptr<Client> &client)
{
    Node *node = randomReadyNode();
    ++client->attempts;
    if (node == nullptr) {
        jobnode::JobReply answer;
        answer.outcome = jobnode::JobCallOutcome::NotStored;
        m_timeline.after(internal::clientLatency, [this, client, answer] {
            handleSubmitReply(client, answer);
        });
        return;
    }
    node->executor.after(internal::clientLatency, [this, client, node] {
        jobs::Job job = client->job;
        job.submittedMs = node->executor.wallMs();
        node->node.jobService().submit(job, client->deadline, [this, client](const jobnode::JobReply &answer) {
            m_timeline.after(internal::clientLatency, [this, client, answer] {
                handleSubmitReply(client, answer);
            });
        });
    });
    // If there is no reply by the deadline, as from a killed or frozen node, the client treats the outcome as unknown.
    const int thisAttempt = client->attempts;
    m_timeline.at(client->deadline, [this, client, thisAttempt] {
        if (!client->accepted && !client->finished && client->attempts == thisAttempt) {
            handleSubmitReply(client, jobnode::JobReply{});
        }
    });
}

void Simulation::handleSubmitReply(const std::shared_ptr<Client> &client, const jobnode::JobReply &answer)
{
    if (client->accepted || client->finished) {
        return;
    }
    if (answer.outcome == jobnode::JobCallOutcome::Done) {
        client->accepted = true;
        m_report.accepted += client->continuous ? 0 : 1;
        m_checker.accepted(client->job.id, now());
        noteSilentEvent(client->job.id);
        if (!client->continuous && chance(m_cancellationShare)) {
            cancel(client);
        }
        m_timeline.after(internal::pollInterval, [this, client] {
            pollStatus(client);
        });
        return;
    }
    client->mayBeAccepted = client->mayBeAccepted || answer.outcome == jobnode::JobCallOutcome::Unknown;
    const core::Duration delay = answer.outcome == jobnode::JobCallOutcome::NotStored ? internal::retryDelay : core::Duration::zero();
    if (client->attempts >= internal::maxSubmitAttempts || now() + delay >= client->deadline) {
        client->finished = true;
        if (!client->mayBeAccepted) {
            m_checker.rejected(client->job.id);
        }
        return;
    }
    m_timeline.after(delay, [this, client] {
        submit(client);
    });
}

void Simulation::pollStatus(const std::shared_ptr<Client> &client)
{
    Node *node = client->finished ? nullptr : randomReadyNode();
    if (client->finished) {
        return;
    }
    m_timeline.after(internal::pollInterval, [this, client] {
        pollStatus(client);
    });
    if (node == nullptr) {
        return;
    }
    node->executor.after(internal::clientLatency, [this, client, node] {
        node->node.jobService().status(client->job.id, client->job.team, now() + internal::clientTimeout, [this, client](const jobnode::JobReply &answer) {
            if (client->finished) {
                return;
            }
            if (answer.outcome == jobnode::JobCallOutcome::NotFound) {
                m_checker.reportedMissing(client->job.id, now());
            } else if (answer.outcome == jobnode::JobCallOutcome::Done) {
                m_checker.stateReported(client->job.id, answer.state, now());
                client->finished = jobs::isFinal(answer.state);
                const double tookMs = std::chrono::duration<double, std::milli>{now() - client->firstSentAt}.count();
                const bool completed = answer.state == jobs::JobState::Completed;
                m_report.inTime += completed && tookMs <= client->objectiveMs ? 1 : 0;
                m_report.late += completed && tookMs > client->objectiveMs && tookMs <= internal::maxLateFactor * client->objectiveMs ? 1 : 0;
            }
        });
    });
}

void Simulation::pollPending()
{
    m_timeline.after(internal::pendingPollInterval, [this] {
        pollPending();
    });
    const core::TimePoint askedAt = now();
    for (const QueuePlan &queue : m_deployment.queues) {
        Node *node = randomReadyNode();
        if (node == nullptr) {
            return;
        }
        node->node.jobService().pending(queue.name, askedAt + internal::clientTimeout, [this, queue, askedAt](const jobnode::JobReply &answer) {
            if (answer.outcome == jobnode::JobCallOutcome::Done) {
                m_checker.pendingReported(queue.name, answer.pending, askedAt, now());
            }
        });
    }
}

void Simulation::cancel(const std::shared_ptr<Client> &client)
{
    Node *node = randomReadyNode();
    if (node == nullptr) {
        return;
    }
    // The cancellation may take effect even if its reply is lost.
    m_checker.cancelRequested(client->job.id);
    node->executor.after(internal::clientLatency, [this, client, node] {
        node->node.jobService().cancel(client->job.id, client->job.team, now() + internal::clientTimeout, [this, client](const jobnode::JobReply &answer) {
            if (answer.outcome == jobnode::JobCallOutcome::Done) {
                client->cancelled = true;
                m_checker.cancelled(client->job.id, now());
            }
        });
    });
}

} // namespace oleanderwick::emulator
