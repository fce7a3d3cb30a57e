#include <array>
#include <deque>
#include <random>

#include <catch2/catch.hpp>

#include "oleanderwick/admission/admission.hpp"

using namespace oleanderwick;
using namespace std::chrono_literals;
using Verdict = admission::AdmissionDecision::Verdict;

namespace
{

/** @brief One pool behind 33 nodes, in steps of 10 ms; waiting jobs are served first come first served. */
class FleetModel
{
public:
    static constexpr std::size_t nodeCount = 33;
    static constexpr double capacity = 200.0;
    static constexpr double taskS = 0.3;
    static constexpr core::Duration step = 10ms;

    struct Source {
        std::string queue;
        std::string team;
        double jobsPerS{0.0};
        double work{0.5}; /**< Core seconds of a job. */
    };

    struct Counts {
        int offered{0};
        int admitted{0};
        double admittedWork{0.0};
    };

    FleetModel()
        : nodes(nodeCount, admission::JobAdmission{{3.0, nodeCount}})
    {
    }

    void run(core::Duration duration)
    {
        for (const core::TimePoint end = m_now + duration; m_now < end; m_now += step) {
            serve();
            for (const Source &source : sources) {
                const int arrivals = std::poisson_distribution<int>{source.jobsPerS * std::chrono::duration<double>(step).count()}(m_random);
                for (int job = 0; job < arrivals; ++job) {
                    submit(source, std::to_string(++m_lastJob), 0);
                }
            }
            const auto due = m_returns.upper_bound(m_now);
            const std::multimap<core::TimePoint, std::pair<Source, std::pair<std::string, std::int64_t>>> returning{m_returns.begin(), due};
            m_returns.erase(m_returns.begin(), due);
            for (const auto &caller : returning) {
                submit(caller.second.first, caller.second.second.first, caller.second.second.second);
            }
            if (control.isDue(m_now)) {
                publish();
            }
            deliver();
        }
    }

    /** Replaces the owner by one that knows the last figures and counts arrivals anew. */
    void replaceOwner()
    {
        control = admission::OverloadControl{};
        if (lastFigures.has_value()) {
            control.restore(*lastFigures);
        }
        m_arrived.clear();
    }

    [[nodiscard]] double backlogS() const
    {
        double work = 0.0;
        for (const std::pair<Source, double> &job : m_waiting) {
            work += job.second;
        }
        return work / capacity;
    }

    [[nodiscard]] std::int64_t wallMs() const
    {
        return core::milliseconds(m_now.time_since_epoch());
    }

    std::vector<Source> sources;
    std::map<std::string, double> rates;
    std::map<std::string, Counts> counts; /**< By team and, after a slash, queue. */
    std::vector<admission::JobAdmission> nodes;
    admission::OverloadControl control;
    std::optional<admission::LoadFigures> lastFigures;
    core::Duration figuresDelay{20ms};
    bool ownerLost{false};

private:
    void submit(const Source &source, const std::string &id, std::int64_t firstRefusedMs)
    {
        Counts &count = counts[source.team + "/" + source.queue];
        count.offered += firstRefusedMs == 0 ? 1 : 0;
        admission::JobRequest request{id, source.queue, source.team, taskS * 1000.0, 1.6 * taskS * 1000.0 + 600.0, firstRefusedMs};
        const admission::AdmissionDecision decision = nodes.at(m_random() % nodeCount).decide(request, m_now, wallMs());
        if (decision.verdict == Verdict::Accept) {
            ++count.admitted;
            count.admittedWork += source.work;
            m_waiting.emplace_back(source, source.work);
            std::pair<std::uint64_t, double> &arrived = m_arrived[{source.queue, source.team}];
            ++arrived.first;
            arrived.second += source.work;
            return;
        }
        const std::int64_t firstMs = firstRefusedMs > 0 ? firstRefusedMs : wallMs();
        // Nobody waits for an answer after three times the objective.
        if (wallMs() + decision.retryAfterS * 1000 - firstMs < 3240) {
            m_returns.emplace(m_now + std::chrono::seconds{decision.retryAfterS}, std::pair{source, std::pair{id, firstMs}});
        }
    }

    void serve()
    {
        double left = capacity * std::chrono::duration<double>(step).count();
        while (left > 0.0 && !m_waiting.empty()) {
            const double part = std::min(left, m_waiting.front().second);
            m_waiting.front().second -= part;
            left -= part;
            if (m_waiting.front().second <= 1e-9) {
                m_waiting.pop_front();
            }
        }
    }

    void publish()
    {
        if (ownerLost) {
            return;
        }
        std::map<std::pair<std::string, std::string>, double> backlogs;
        for (const std::pair<Source, double> &job : m_waiting) {
            backlogs[{job.first.queue, job.first.team}] += job.second;
        }
        admission::FleetDemand demand;
        demand.rates = rates;
        demand.pools["pool"] = {capacity, backlogS() / taskS > 1.2};
        for (const std::pair<const std::pair<std::string, std::string>, std::pair<std::uint64_t, double>> &item : m_arrived) {
            demand.shares.push_back({"pool", item.first.first, item.first.second, item.second.first, item.second.second, backlogs[item.first]});
        }
        const std::optional<admission::LoadFigures> figures = control.update(demand, m_now, wallMs());
        if (figures.has_value()) {
            lastFigures = figures;
            m_underWay.emplace_back(m_now + figuresDelay, *figures);
        }
    }

    void deliver()
    {
        while (!m_underWay.empty() && m_underWay.front().first <= m_now) {
            const std::optional<admission::LoadFigures> figures = admission::figuresFromText(admission::toText(m_underWay.front().second));
            for (admission::JobAdmission &node : nodes) {
                node.setFigures(figures.value(), m_now);
            }
            m_underWay.pop_front();
        }
    }

    core::TimePoint m_now{std::chrono::seconds{1000}};
    std::mt19937_64 m_random{20261203};
    int m_lastJob{0};
    std::deque<std::pair<Source, double>> m_waiting;
    std::multimap<core::TimePoint, std::pair<Source, std::pair<std::string, std::int64_t>>> m_returns;
    std::map<std::pair<std::string, std::string>, std::pair<std::uint64_t, double>> m_arrived;
    std::deque<std::pair<core::TimePoint, admission::LoadFigures>> m_underWay;
};

/** Four of 20 teams flood, so that the offered load is a multiple of the capacity; the others offer 0.9 of their rates, which sum up to the capacity. */
FleetModel flooded(double multiple)
{
    FleetModel model;
    constexpr int teams = 20;
    constexpr int floods = 4;
    const double jobsPerS = FleetModel::capacity / 0.5;
    for (int team = 0; team < teams; ++team) {
        const std::string name = "team-" + std::to_string(team);
        const double rate = jobsPerS / teams;
        model.rates[name] = rate;
        const double flood = (multiple * jobsPerS - (teams - floods) * 0.9 * rate) / floods;
        model.sources.push_back({"quick", name, team < floods ? flood : 0.9 * rate});
    }
    return model;
}

double admittedWork(const FleetModel &model)
{
    double work = 0.0;
    for (const std::pair<const std::string, FleetModel::Counts> &item : model.counts) {
        work += item.second.admittedWork;
    }
    return work;
}

} // namespace

TEST_CASE("water-filling serves small demands in full and divides the rest by weight", "[admission]")
{
    const std::map<std::string, double> parts = admission::waterFill({{"a", 1.0}, {"b", 50.0}, {"c", 50.0}}, {{"b", 2.0}}, 31.0);
    CHECK(parts.at("a") == Approx(1.0));
    CHECK(parts.at("b") == Approx(20.0));
    CHECK(parts.at("c") == Approx(10.0));
}

TEST_CASE("nothing is published below the capacity", "[admission]")
{
    FleetModel model = flooded(0.92);
    model.run(20s);
    CHECK_FALSE(model.lastFigures.has_value());
}

TEST_CASE("at several times the capacity the admitted load stays near it, and teams within their rate are served", "[admission]")
{
    for (const double multiple : {2.0, 5.0, 10.0}) {
        CAPTURE(multiple);
        FleetModel model = flooded(multiple);
        double worstBacklogS = 0.0;
        for (int turn = 0; turn < 20; ++turn) {
            model.run(100ms);
            worstBacklogS = std::max(worstBacklogS, model.backlogS());
        }
        model.run(3s);
        model.counts.clear();
        const double firstBacklogS = model.backlogS();
        double lastBacklogS = 0.0;
        for (int second = 0; second < 20; ++second) {
            model.run(1s);
            lastBacklogS = model.backlogS();
        }
        const double admitted = admittedWork(model) / 20.0 / FleetModel::capacity;
        const double served = admitted + (firstBacklogS - lastBacklogS) / 20.0;
        CAPTURE(admitted, served, worstBacklogS, lastBacklogS);
        // What is served is what was admitted and what is left of the backlog of the first moments.
        CHECK(served > 0.9);
        CHECK(admitted < 1.1);
        CHECK(worstBacklogS < 2.5);
        CHECK(lastBacklogS < 1.0);
        for (int team = 4; team < 20; ++team) {
            const FleetModel::Counts &count = model.counts["team-" + std::to_string(team) + "/quick"];
            CAPTURE(team, count.offered, count.admitted);
            CHECK(count.admitted >= 0.9 * count.offered);
        }
        // After the flood the end is published and nothing is refused any more.
        for (FleetModel::Source &source : model.sources) {
            source.jobsPerS = std::min(source.jobsPerS, 18.0);
        }
        model.run(5s);
        CHECK_FALSE(model.lastFigures->overloaded);
        CHECK(model.backlogS() < 0.2);
    }
}

TEST_CASE("small jobs are not refused for a backlog of large ones of the same team", "[admission]")
{
    FleetModel model;
    model.rates["team"] = 30.0;
    model.sources = {{"large", "team", 100.0, 10.0}, {"quick", "team", 20.0, 0.5}};
    model.run(20s);
    const FleetModel::Counts &small = model.counts["team/quick"];
    CAPTURE(small.offered, small.admitted, model.counts["team/large"].offered, model.counts["team/large"].admitted);
    CHECK(small.admitted >= 0.9 * small.offered);
    CHECK(model.counts["team/large"].admitted < 0.6 * model.counts["team/large"].offered);
}

TEST_CASE("figures that are late let in more, but never lock anybody out", "[admission]")
{
    for (const core::Duration delay : {500ms, 2000ms, 5000ms, 10'000ms}) {
        CAPTURE(core::milliseconds(delay));
        FleetModel model = flooded(5.0);
        model.figuresDelay = delay;
        model.run(15s);
        CHECK(admittedWork(model) / 15.0 / FleetModel::capacity > 0.9);
        for (FleetModel::Source &source : model.sources) {
            source.jobsPerS = std::min(source.jobsPerS, 18.0);
        }
        // The backlog of accepted jobs has to be served before the control ends.
        model.run(std::chrono::seconds{static_cast<std::int64_t>(model.backlogS() * 12.0) + 20});
        model.counts.clear();
        model.run(2s);
        for (const std::pair<const std::string, FleetModel::Counts> &item : model.counts) {
            CHECK(item.second.admitted == item.second.offered);
        }
    }
}

TEST_CASE("a new owner continues with the fraction that its predecessor published", "[admission]")
{
    FleetModel model = flooded(10.0);
    model.run(10s);
    model.ownerLost = true;
    model.run(1500ms);
    model.ownerLost = false;
    model.replaceOwner();
    const std::int64_t version = model.lastFigures->version;
    model.counts.clear();
    model.run(5s);
    CHECK(model.lastFigures->version > version);
    CHECK(admittedWork(model) / 5.0 / FleetModel::capacity < 1.3);
    CHECK(model.backlogS() < 2.0);
}

TEST_CASE("an overloaded owner has less admitted, also while the pools have room, and recovers", "[admission]")
{
    admission::OverloadControl control;
    admission::FleetDemand demand;
    demand.pools["pool"] = {100.0, false};
    demand.rates["team"] = 10.0;
    demand.shares.push_back({"pool", "quick", "team", 0, 0.0, 0.0});
    core::TimePoint now{std::chrono::seconds{1000}};
    std::optional<admission::LoadFigures> figures;
    const auto step = [&](bool ownerOverloaded) {
        demand.ownerOverloaded = ownerOverloaded;
        // 1,000 jobs a second for a pool that is large enough for them.
        demand.shares[0].arrivedJobs += 500;
        demand.shares[0].arrivedWork += 45.0;
        figures = control.update(demand, now, core::milliseconds(now.time_since_epoch()));
        now += 500ms;
    };
    step(false);
    step(false);
    CHECK_FALSE(figures.has_value());
    for (int turn = 0; turn < 10; ++turn) {
        step(true);
    }
    REQUIRE(figures.has_value());
    CHECK(figures->find("quick", "team")->admit < 0.5);
    for (int turn = 0; turn < 5; ++turn) {
        step(false);
    }
    REQUIRE((!figures.has_value() || !figures->overloaded));
}
