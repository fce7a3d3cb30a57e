#include <catch2/catch.hpp>

#include "oleanderwick/jobnode/job_gate.hpp"
#include "support/node_fixture.hpp"

using namespace oleanderwick;
using namespace std::chrono_literals;
using jobnode::JobCallOutcome;

namespace
{

/** @brief One node that refuses jobs. */
struct GateFixture : test::NodeFixture {
    std::unique_ptr<jobnode::JobNode> makeGateNode(const std::string &name)
    {
        jobnode::OwnerOptions options;
        options.refuseJobs = true;
        return std::make_unique<jobnode::JobNode>(executor, jobnode::Ports{store, workers, instances, advice, translator}, name, options, log);
    }

    /** Publishes that next to nothing of one team's jobs on the queue is to be admitted. */
    void publish(bool overloaded)
    {
        admission::LoadFigures figures;
        figures.version = ++version;
        figures.wallMs = executor.wallMs();
        figures.overloaded = overloaded;
        if (overloaded) {
            figures.queues["queue"].teams["flood"] = {10.0, 1.0, 2500, 0.0, true};
            figures.queues["queue"].teams["late"] = {10.0, 1.0, 60'000, 0.0, false};
        }
        put("pub/load", admission::toText(figures));
        run(100ms);
    }

    [[nodiscard]] jobs::Job job(const std::string &id, const std::string &team) const
    {
        jobs::Job made;
        made.id = id;
        made.queue = "queue";
        made.pool = "pool";
        made.team = team;
        made.submittedMs = executor.wallMs();
        made.steps.emplace_back().each = {1000, 10, 0};
        made.steps.back().estimateMs = 300;
        return made;
    }

    jobnode::JobReply submitTo(jobnode::JobNode &node, const jobs::Job &submitted)
    {
        jobnode::JobReply result;
        jobs::QueuePolicy policy;
        policy.criticalPathFactor = 1.6;
        policy.objectiveMs = 600;
        node.submit(submitted, policy, timeline.now() + 3s, [&result](const jobnode::JobReply &reply) {
            result = reply;
        });
        run(50ms);
        return result;
    }

    [[nodiscard]] bool has(const std::string &key) const
    {
        return store.model.read(key).outcome == jobs::StoreOutcome::Done;
    }

    [[nodiscard]] std::optional<admission::LoadFigures> published() const
    {
        const jobs::StoreReply reply = store.model.read("pub/load");
        return reply.items.empty() ? std::nullopt : admission::figuresFromText(reply.items.front().value);
    }

    std::int64_t version{0};
};

} // namespace

TEST_CASE("a node refuses by the published figures, records it, and accepts the job once the overload has ended", "[jobnode]")
{
    GateFixture fixture;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeGateNode("n1");
    fixture.run(1s);
    fixture.publish(true);
    const std::int64_t firstMs = fixture.executor.wallMs();
    const jobnode::JobReply beyond = fixture.submitTo(*node, fixture.job("a", "flood"));
    CHECK(beyond.outcome == JobCallOutcome::Refused);
    CHECK(beyond.beyondRate);
    CHECK(beyond.retryAfterS == 3);
    CHECK(fixture.has("q/r/a"));
    CHECK_FALSE(fixture.has("q/j/a"));
    const jobnode::JobReply late = fixture.submitTo(*node, fixture.job("b", "late"));
    CHECK(late.outcome == JobCallOutcome::Refused);
    CHECK_FALSE(late.beyondRate);
    CHECK(fixture.submitTo(*node, fixture.job("c", "small")).outcome == JobCallOutcome::Done);
    fixture.run(1s);
    fixture.publish(false);
    CHECK(fixture.submitTo(*node, fixture.job("a", "flood")).outcome == JobCallOutcome::Done);
    REQUIRE(fixture.has("q/j/a"));
    CHECK_FALSE(fixture.has("q/r/a"));
    CHECK(jobs::jobFromRecord(fixture.store.model.read("q/j/a").items.front().value)->submittedMs < firstMs + 50);
    fixture.run(1s);
    CHECK(fixture.text.find("event=job_refused job=a") != std::string::npos);
    CHECK(fixture.text.find("reason=beyond_rate") != std::string::npos);
}

TEST_CASE("a job that is stored already, a repeating one and a continuous one are not refused", "[jobnode]")
{
    GateFixture fixture;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeGateNode("n1");
    fixture.run(1s);
    CHECK(fixture.submitTo(*node, fixture.job("a", "flood")).outcome == JobCallOutcome::Done);
    fixture.publish(true);
    CHECK(fixture.submitTo(*node, fixture.job("a", "flood")).outcome == JobCallOutcome::Done);
    jobs::Job repeating = fixture.job("b", "flood");
    repeating.repeatCount = 3;
    CHECK(fixture.submitTo(*node, repeating).outcome == JobCallOutcome::Done);
    jobs::Job continuous = fixture.job("c", "flood");
    continuous.steps.front().continuous = true;
    CHECK(fixture.submitTo(*node, continuous).outcome == JobCallOutcome::Done);
}

TEST_CASE("figures older than 3 s and figures that are malformed or removed refuse nothing", "[jobnode]")
{
    GateFixture fixture;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeGateNode("n1");
    fixture.run(1s);
    fixture.publish(true);
    fixture.put("pub/load", "no figures");
    fixture.run(2s);
    CHECK(fixture.submitTo(*node, fixture.job("a", "flood")).outcome == JobCallOutcome::Refused);
    fixture.run(1s);
    CHECK(fixture.submitTo(*node, fixture.job("a", "flood")).outcome == JobCallOutcome::Done);
    fixture.run(1s);
    CHECK(fixture.text.find("event=load_figures_stale") != std::string::npos);
    fixture.publish(true);
    fixture.remove("pub/load");
    fixture.run(1500ms);
    CHECK(fixture.submitTo(*node, fixture.job("b", "flood")).outcome == JobCallOutcome::Done);
}

TEST_CASE("the owner publishes figures while its pool is overloaded, at most twice a second, and the end once", "[jobnode]")
{
    GateFixture fixture;
    fixture.translator.objectiveMs = 5000;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeGateNode("n1");
    fixture.run(1s);
    REQUIRE(node->isOwner());
    CHECK_FALSE(fixture.published().has_value());
    // The worker has 4 cores and never ends a task; each job takes one of them.
    for (int job = 0; job < 60; ++job) {
        fixture.put("q/j/j" + std::to_string(job), jobs::toRecord(fixture.job("j" + std::to_string(job), "flood")));
    }
    std::set<std::int64_t> versions;
    for (int turn = 0; turn < 100; ++turn) {
        fixture.run(10ms);
        if (fixture.published().has_value()) {
            versions.insert(fixture.published()->version);
        }
    }
    REQUIRE(fixture.published().has_value());
    CHECK(fixture.published()->overloaded);
    CHECK(fixture.published()->queues["queue"].teams["flood"].backlog > 5.0);
    CHECK(versions.size() <= 3);
    // The next owner ends what the first one began, once the jobs are cancelled.
    const std::unique_ptr<jobnode::JobNode> other = fixture.makeGateNode("n2");
    fixture.run(500ms);
    node->stop();
    for (int job = 0; job < 60; ++job) {
        fixture.put("q/c/j" + std::to_string(job), "1");
    }
    fixture.run(6s);
    REQUIRE(other->isOwner());
    CHECK_FALSE(fixture.published()->overloaded);
    const std::int64_t last = fixture.published()->version;
    CHECK(last > *versions.rbegin());
    fixture.run(3s);
    CHECK(fixture.published()->version == last);
}

TEST_CASE("without refusals nothing is published and nothing is refused", "[jobnode]")
{
    GateFixture fixture;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeNode("n1");
    fixture.run(1s);
    for (int job = 0; job < 60; ++job) {
        fixture.put("q/j/j" + std::to_string(job), jobs::toRecord(fixture.job("j" + std::to_string(job), "flood")));
    }
    fixture.run(2s);
    CHECK_FALSE(fixture.published().has_value());
    fixture.publish(true);
    CHECK(fixture.submitTo(*node, fixture.job("a", "flood")).outcome == JobCallOutcome::Done);
}
