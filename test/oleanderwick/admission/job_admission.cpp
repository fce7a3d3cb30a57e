#include <catch2/catch.hpp>

#include "oleanderwick/admission/admission.hpp"

using namespace oleanderwick;
using namespace std::chrono_literals;
using admission::AdmissionDecision;
using Verdict = admission::AdmissionDecision::Verdict;

namespace
{

constexpr core::TimePoint start{std::chrono::seconds{1000}};
constexpr std::int64_t startMs = 5'000'000;

/** Figures of an overload in which the team "flood" on the queue "quick" may admit a fraction; "late" is within its rate, but has no room for a minute. */
admission::LoadFigures overload(double admit)
{
    admission::LoadFigures figures;
    figures.version = 7;
    figures.wallMs = startMs;
    figures.overloaded = true;
    figures.queues["quick"].teams["flood"] = {40.0, 50.0, 2500, admit, true};
    figures.queues["quick"].teams["late"] = {40.0, 50.0, 60'000, admit, false};
    figures.queues["quick"].teams["waits"] = {4.0, 50.0, 500, admit, false};
    return figures;
}

admission::JobRequest request(const std::string &team, const std::string &id, std::int64_t firstRefusedMs = 0)
{
    return {id, "quick", team, 300.0, 1080.0, firstRefusedMs};
}

/** Counts the accepted among 10,000 jobs. */
int accepted(admission::JobAdmission &admission, const std::string &team, std::int64_t firstRefusedMs = 0, std::int64_t wallMs = startMs)
{
    int count = 0;
    for (int job = 0; job < 10'000; ++job) {
        count += admission.decide(request(team, std::to_string(job), firstRefusedMs), start, wallMs).verdict == Verdict::Accept ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("figures survive their way through the store, and malformed ones are rejected", "[admission]")
{
    const admission::LoadFigures figures = overload(0.25);
    CHECK(admission::figuresFromText(admission::toText(figures)) == figures);
    const std::string text = admission::toText(figures);
    for (const char *bad : {"",
                            "[]",
                            "{}",
                            R"({"version":1,"wall":1,"overloaded":true,"queues":{"q":{"teams":{},"others":[0,0,0,2,0]}}})",
                            R"({"version":1,"wall":1,"overloaded":true,"queues":{"q":{"teams":{},"others":[0,0,-1,1,0]}}})"}) {
        CHECK_FALSE(admission::figuresFromText(bad).has_value());
    }
    CHECK_FALSE(admission::figuresFromText(text.substr(0, text.size() - 1)).has_value());
}

TEST_CASE("everything is accepted without figures, after the end of an overload, and on queues without a backlog", "[admission]")
{
    admission::JobAdmission admission{{}};
    CHECK(accepted(admission, "flood") == 10'000);
    admission.setFigures(overload(0.0), start);
    CHECK(accepted(admission, "unnamed") == 10'000);
    CHECK(admission.decide({"a", "other", "flood", 300.0, 1080.0, 0}, start, startMs).verdict == Verdict::Accept);
    admission::LoadFigures ended;
    ended.wallMs = startMs;
    admission.setFigures(ended, start);
    CHECK(accepted(admission, "flood") == 10'000);
    CHECK_FALSE(admission.decide(request("flood", "a"), start + 60s, startMs + 60'000).isStale);
}

TEST_CASE("a team beyond its rate gets the published fraction and 429, one within its rate 503 only if the job would end too late", "[admission]")
{
    admission::JobAdmission admission{{}};
    admission.setFigures(overload(0.25), start);
    CHECK(accepted(admission, "flood") == Approx(2500).margin(150));
    CHECK(accepted(admission, "late") == Approx(2500).margin(150));
    CHECK(accepted(admission, "waits") == 10'000);
    admission.setFigures(overload(0.0), start);
    CHECK(admission.decide(request("flood", "a"), start, startMs).verdict == Verdict::BeyondRate);
    CHECK(admission.decide(request("late", "a"), start, startMs).verdict == Verdict::TooLate);
    CHECK(admission.decide(request("late", "a"), start, startMs).retryAfterS >= 1);
    // A job with a long critical path has a long objective, which the same backlog doesn't endanger.
    CHECK(admission.decide({"a", "quick", "late", 30'000.0, 60'000.0, 0}, start, startMs).verdict == Verdict::Accept);
}

TEST_CASE("nodes decide alike, so that a caller gains nothing by asking another node", "[admission]")
{
    admission::JobAdmission first{{}};
    admission::JobAdmission second{{}};
    first.setFigures(overload(0.5), start);
    second.setFigures(overload(0.5), start + 1s);
    for (int job = 0; job < 1000; ++job) {
        const admission::JobRequest asked = request("flood", std::to_string(job));
        CHECK(first.decide(asked, start + 2s, startMs + 2000).verdict == second.decide(asked, start + 2s, startMs + 2000).verdict);
    }
}

TEST_CASE("old figures refuse nothing, whether they came late or the process was frozen", "[admission]")
{
    for (const core::Duration late : {500ms, 2900ms, 3100ms, 10'000ms}) {
        const bool isStale = late > 3s;
        const std::int64_t lateMs = core::milliseconds(late);
        admission::JobAdmission delayed{{}};
        delayed.setFigures(overload(0.0), start + late);
        const AdmissionDecision afterDelay = delayed.decide(request("flood", "a"), start + late, startMs + lateMs);
        CHECK(afterDelay.isStale == isStale);
        CHECK((afterDelay.verdict == Verdict::Accept) == isStale);
        CHECK(afterDelay.ageMs == lateMs);
        // The wall clock of a frozen process may have been wrong; the time since the receipt counts as well.
        admission::JobAdmission frozen{{}};
        frozen.setFigures(overload(0.0), start);
        const AdmissionDecision afterFreeze = frozen.decide(request("flood", "a"), start + late, startMs);
        CHECK(afterFreeze.isStale == isStale);
        CHECK((afterFreeze.verdict == Verdict::Accept) == isStale);
        CHECK(frozen.mayRefuse("quick", "flood", start + late, startMs) == !isStale);
    }
}

TEST_CASE("a job that was refused before is preferred to new ones", "[admission]")
{
    admission::JobAdmission admission{{}};
    admission.setFigures(overload(0.2), start);
    const int fresh = accepted(admission, "flood");
    const int returned = accepted(admission, "flood", startMs - 2000);
    CHECK(fresh == Approx(2000).margin(150));
    CHECK(returned == Approx(6000).margin(200));
    CHECK(accepted(admission, "flood", startMs - 5000) == 10'000);
}

TEST_CASE("a thousand refused callers return in order of their first attempt, and not all at once", "[admission]")
{
    constexpr std::size_t nodes = 33;
    constexpr double rate = 50.0;
    std::vector<admission::ReturnSchedule> schedules(nodes, admission::ReturnSchedule{nodes});
    admission::ShareFigures share;
    share.serviceRate = rate;
    share.roomMs = 3000;
    std::vector<core::Duration> returns;
    std::map<std::int64_t, int> perSecond;
    for (int caller = 0; caller < 1000; ++caller) {
        const core::Duration refusedAt = std::chrono::milliseconds{caller};
        // The room seems to come earlier for later callers, as the backlog shrinks.
        share.roomMs = 3000 - caller;
        admission::ReturnSchedule &schedule = schedules.at(static_cast<std::size_t>(caller * 7) % nodes);
        const std::int64_t delayS = schedule.retryAfterS({"quick", "flood", false}, share, start + refusedAt);
        CHECK(delayS >= 1);
        returns.push_back(refusedAt + std::chrono::seconds{delayS});
        ++perSecond[core::milliseconds(returns.back()) / 1000];
    }
    // Whole seconds and separate schedules may swap callers that are refused within about a second of each other's turn.
    int swaps = 0;
    for (std::size_t caller = 0; caller + 100 < returns.size(); ++caller) {
        swaps += returns[caller] > returns[caller + 100] ? 1 : 0;
    }
    CHECK(swaps == 0);
    for (const std::pair<const std::int64_t, int> &second : perSecond) {
        CHECK(second.second <= 2 * static_cast<int>(rate));
    }
}

TEST_CASE("a caller that returned does not wait behind callers that were refused later", "[admission]")
{
    admission::ReturnSchedule schedule{1};
    admission::ShareFigures share;
    share.serviceRate = 10.0;
    share.roomMs = 1500;
    std::int64_t last = 0;
    for (int caller = 0; caller < 200; ++caller) {
        last = schedule.retryAfterS({"quick", "flood", false}, share, start);
    }
    CHECK(last >= 20);
    CHECK(schedule.retryAfterS({"quick", "flood", true}, share, start) == 2);
    CHECK(schedule.retryAfterS({"quick", "other", false}, share, start) == 2);
}
