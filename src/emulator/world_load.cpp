#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "world.hpp"
#include "world_state.hpp"

namespace oleanderwick::emulator
{

namespace internal
{

constexpr core::Duration clientDeadline = std::chrono::seconds{3};
constexpr int mostTries = 5;
constexpr core::Duration toClient = std::chrono::milliseconds{3};
constexpr core::Duration pollEvery = std::chrono::milliseconds{300};
/** A refusal says when to come back. */
constexpr core::Duration comeBackAfter = std::chrono::seconds{1};
/** Share of its mean that a queue is asked for out of its turn. */
constexpr double outOfTurn = 0.1;
constexpr double lateFactor = 3.0;

} // namespace internal

void World::schedule()
{
    for (const QueuePlan &queue : m_deployment.queues) {
        if (queue.continuousTasks > 0) {
            m_timeline.at(m_start - std::chrono::seconds{4}, [this, queue] {
                handIn(queue, true);
            });
        }
        const auto position = static_cast<std::size_t>(&queue - m_deployment.queues.data());
        double at = 0.0;
        while (at < m_deployment.loadS) {
            const std::size_t turn = static_cast<std::size_t>(at / m_deployment.turnS) % m_deployment.queues.size();
            const double rate = queue.jobsPerSecond * (turn == position ? m_deployment.inTurn : internal::outOfTurn);
            at += std::exponential_distribution<double>{rate}(m_random);
            if (at < m_deployment.loadS) {
                m_timeline.at(m_start + internal::fromS(at), [this, queue] {
                    handIn(queue, false);
                });
            }
        }
    }
    for (const Trouble &trouble : m_deployment.troubles) {
        m_timeline.at(m_start + internal::fromS(trouble.atS), [this, trouble] {
            strike(trouble);
        });
    }
}

void World::handIn(const QueuePlan &queue, bool continuous)
{
    constexpr double estimateNoise = 0.3;
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
        step.maxUnavailable = continuous ? 1 : 0;
        step.maxPerWorker = continuous ? 3 : 0;
        if (index > 0) {
            step.after = {static_cast<std::size_t>(index - 1)};
        }
        client->job.steps.push_back(step);
        const double factor = std::lognormal_distribution<double>{0.0, estimateNoise}(m_random);
        m_workFactors[absl::StrCat(client->job.id, ".", index)] = factor;
        client->objectiveMs += internal::stretch * factor * queue.workMs;
    }
    client->objectiveMs += static_cast<double>(queue.objectiveMs);
    client->firstSent = now();
    client->deadline = now() + internal::clientDeadline;
    m_jobs[client->job.id] = client->job;
    m_judge.submitted(client->job);
    m_report.jobs += continuous ? 0 : 1;
    m_clients.push_back(client);
    submit(client);
}

void World::submit(const std::shared_ptr<Client> &client)
{
    Node *node = someNode();
    ++client->tries;
    if (node == nullptr) {
        jobnode::JobReply answer;
        answer.outcome = jobnode::JobCallOutcome::NotRun;
        m_timeline.after(internal::toClient, [this, client, answer] {
            takeSubmitted(client, answer);
        });
        return;
    }
    node->executor.after(internal::toClient, [this, client, node] {
        jobs::Job job = client->job;
        job.submittedMs = node->executor.wallMs();
        node->node.jobService().submit(job, client->deadline, [this, client](const jobnode::JobReply &answer) {
            m_timeline.after(internal::toClient, [this, client, answer] {
                takeSubmitted(client, answer);
            });
        });
    });
    // The node may be killed meanwhile: a broken connection is an unknown outcome.
    const int thisTry = client->tries;
    m_timeline.at(client->deadline, [this, client, thisTry] {
        if (!client->accepted && !client->over && client->tries == thisTry) {
            takeSubmitted(client, jobnode::JobReply{});
        }
    });
}

void World::takeSubmitted(const std::shared_ptr<Client> &client, const jobnode::JobReply &answer)
{
    if (client->accepted || client->over) {
        return;
    }
    if (answer.outcome == jobnode::JobCallOutcome::Done) {
        client->accepted = true;
        m_report.accepted += client->continuous ? 0 : 1;
        m_judge.accepted(client->job.id, now());
        if (!client->continuous && chance(m_cancelShare)) {
            cancel(client);
        }
        m_timeline.after(internal::pollEvery, [this, client] {
            poll(client);
        });
        return;
    }
    client->mayBeStored = client->mayBeStored || answer.outcome == jobnode::JobCallOutcome::Unknown;
    const core::Duration pause = answer.outcome == jobnode::JobCallOutcome::NotRun ? internal::comeBackAfter : core::Duration::zero();
    if (client->tries >= internal::mostTries || now() + pause >= client->deadline) {
        client->over = true;
        if (!client->mayBeStored) {
            m_judge.refusedForGood(client->job.id);
        }
        return;
    }
    m_timeline.after(pause, [this, client] {
        submit(client);
    });
}

void World::poll(const std::shared_ptr<Client> &client)
{
    Node *node = client->over ? nullptr : someNode();
    if (client->over) {
        return;
    }
    m_timeline.after(internal::pollEvery, [this, client] {
        poll(client);
    });
    if (node == nullptr) {
        return;
    }
    node->executor.after(internal::toClient, [this, client, node] {
        node->node.jobService().status(client->job.id, now() + internal::clientDeadline, [this, client](const jobnode::JobReply &answer) {
            if (client->over) {
                return;
            }
            if (answer.outcome == jobnode::JobCallOutcome::NotFound) {
                m_judge.shownMissing(client->job.id, now());
            } else if (answer.outcome == jobnode::JobCallOutcome::Done) {
                m_judge.shown(client->job.id, answer.state, now());
                client->over = jobs::isFinal(answer.state);
                const double tookMs = std::chrono::duration<double, std::milli>{now() - client->firstSent}.count();
                const bool completed = answer.state == jobs::JobState::Completed;
                m_report.inTime += completed && tookMs <= client->objectiveMs ? 1 : 0;
                m_report.late += completed && tookMs > client->objectiveMs && tookMs <= internal::lateFactor * client->objectiveMs ? 1 : 0;
            }
        });
    });
}

void World::cancel(const std::shared_ptr<Client> &client)
{
    Node *node = someNode();
    if (node == nullptr) {
        return;
    }
    // It may take effect also if the answer is lost.
    m_judge.cancelAsked(client->job.id);
    node->executor.after(internal::toClient, [this, client, node] {
        node->node.jobService().cancel(client->job.id, now() + internal::clientDeadline, [this, client](const jobnode::JobReply &answer) {
            if (answer.outcome == jobnode::JobCallOutcome::Done) {
                client->cancelled = true;
                m_judge.cancelled(client->job.id, now());
            }
        });
    });
}

} // namespace oleanderwick::emulator
