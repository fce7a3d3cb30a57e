#include <set>

#include <catch2/catch.hpp>

#include "oleanderwick/jobnode/expected_keys.hpp"
#include "oleanderwick/jobnode/keys.hpp"
#include "oleanderwick/jobnode/missed_changes.hpp"
#include "support/model_store.hpp"

using namespace oleanderwick;
using jobnode::ExpectedKeys;
using jobnode::FetchResult;
using jobnode::OwnerNotice;

namespace
{

/** Performs checks until a read is due; returns their number, at most 1000. */
int checksUntilRead(ExpectedKeys &expected)
{
    int checks = 1;
    while (expected.check().empty() && checks < 1000) {
        ++checks;
    }
    return checks;
}

/** @brief Owner's side in virtual time: two watchers of a store, and the jobs and workers that are known. */
struct MissedChangesFixture {
    MissedChangesFixture()
    {
        run(100);
    }

    jobnode::Watcher::Callbacks watcherCallbacks(std::set<std::string> &known)
    {
        jobnode::Watcher::Callbacks callbacks;
        callbacks.onItem = [&known](const jobs::StoreItem &item) {
            known.insert(item.key);
        };
        callbacks.onRemoved = [&known](const std::string &key) {
            known.erase(key);
        };
        callbacks.onListed = [] {
        };
        return callbacks;
    }

    jobnode::MissedChanges::Callbacks callbacks()
    {
        jobnode::MissedChanges::Callbacks made;
        made.isReady = [this] {
            return ready;
        };
        made.isJobKnown = [this](const std::string &id) {
            return jobs.contains("q/j/" + id) || ended.contains(id);
        };
        made.onCancel = [this](const std::string &id) {
            cancelled.push_back(id);
        };
        made.onJob = [this](const jobs::StoreItem &item) {
            jobs.insert(item.key);
            missed.handleJobKnown(item.key.substr(4));
        };
        made.isWorkerRegistered = [this](const std::string &name) {
            return workers.contains("servers/" + name);
        };
        made.onWorker = [this](const jobs::StoreItem &item) {
            workers.insert(item.key);
        };
        return made;
    }

    void put(const std::string &key)
    {
        model.commit({{}, {{key, "1", 0}}, {}});
    }

    void remove(const std::string &key)
    {
        model.commit({{}, {}, {key}});
    }

    void notify(OwnerNotice::Kind kind, const std::string &id)
    {
        missed.handleNotices({{kind, id, 7, 5}});
    }

    void run(int milliseconds)
    {
        timeline.runUntil(timeline.now() + std::chrono::milliseconds{milliseconds});
    }

    emulator::Timeline timeline;
    emulator::ProcessExecutor executor{timeline, 0};
    jobnode::LogSink log{executor, std::make_unique<test::DiscardingOutput>()};
    emulator::StoreModel model;
    test::ModelStore store{timeline, model};
    bool ready{true};
    std::set<std::string> jobs;
    std::set<std::string> workers;
    std::set<std::string> ended;
    std::vector<std::string> cancelled;
    jobnode::Watcher jobWatcher{executor, store, "q/", std::chrono::seconds{2}, watcherCallbacks(jobs)};
    jobnode::Watcher workerWatcher{executor, store, "servers/", std::chrono::seconds{2}, watcherCallbacks(workers)};
    jobnode::MissedChanges missed{executor, log, jobWatcher, workerWatcher, "servers/", callbacks()};
};

constexpr OwnerNotice::Kind job = OwnerNotice::Kind::Job;
constexpr OwnerNotice::Kind cancel = OwnerNotice::Kind::Cancel;

} // namespace

TEST_CASE("a key is read after the grace period, which begins again with each delivery of the watch", "[missed]")
{
    ExpectedKeys expected{ExpectedKeys::Policy{}};
    expected.expect("a");
    for (int check = 0; check < 100; ++check) {
        CHECK(expected.check().empty());
        expected.handleDelivery();
    }
    CHECK(checksUntilRead(expected) == 5);
}

TEST_CASE("reads in flight are bounded, and a read that fails is repeated a bounded number of times", "[missed]")
{
    ExpectedKeys::Policy policy;
    policy.maxReads = 2;
    policy.maxFailures = 3;
    policy.maxKeys = 3;
    ExpectedKeys expected{policy};
    CHECK((expected.expect("a") && expected.expect("b") && expected.expect("c")));
    CHECK_FALSE(expected.expect("d"));
    CHECK(checksUntilRead(expected) == 5);
    CHECK(expected.check().empty());
    expected.handleRead("a", FetchResult::Found);
    CHECK(expected.check() == std::vector<std::string>{"c"});
    expected.handleRead("c", FetchResult::Absent);
    CHECK(expected.keys() == std::vector<std::string>{"b"});
    for (int failure = 0; failure < 2; ++failure) {
        expected.handleRead("b", FetchResult::Failed);
        CHECK(checksUntilRead(expected) == 5);
    }
    expected.handleRead("b", FetchResult::Failed);
    CHECK(expected.empty());
}

TEST_CASE("a worker without an entry is looked for less and less often", "[missed]")
{
    ExpectedKeys::Policy policy;
    policy.absentDelay = 20;
    policy.maxAbsentDelay = 40;
    ExpectedKeys expected{policy};
    expected.expect("a");
    for (const int checks : {5, 20, 40, 40}) {
        CHECK(checksUntilRead(expected) == checks);
        expected.handleRead("a", FetchResult::Absent);
    }
}

TEST_CASE("a watch that is slow but not silent gets a longer grace period for some time", "[missed]")
{
    ExpectedKeys expected{ExpectedKeys::Policy{}};
    expected.handleOvertakenRead();
    expected.expect("a");
    CHECK(checksUntilRead(expected) == 10);
    expected.handleRead("a", FetchResult::Failed);
    for (int check = 0; check < 500; ++check) {
        (void)expected.check();
    }
    expected.expect("b");
    CHECK(checksUntilRead(expected) == 5);
}

TEST_CASE("while the watch delivers, notices cause no reads", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.store.watchDelay = std::chrono::milliseconds{30};
    for (int index = 0; index < 20; ++index) {
        fixture.put("q/j/" + std::to_string(index));
        fixture.notify(job, std::to_string(index));
        fixture.run(50);
    }
    fixture.run(1000);
    CHECK(fixture.jobs.size() == 20);
    CHECK(fixture.store.reads == 0);
}

TEST_CASE("a doubled notice of a job that the silent watch holds back leads to one read within 150 ms", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.model.silenceWatches();
    fixture.put("q/j/a");
    fixture.notify(job, "a");
    fixture.notify(job, "a");
    fixture.run(150);
    CHECK(fixture.jobs.contains("q/j/a"));
    fixture.notify(job, "a");
    fixture.run(1000);
    CHECK(fixture.store.reads == 1);
    // Stored 5 ms before the notice, read 5 checks of 20 ms later.
    const std::string metrics = fixture.log.metrics().toText();
    CHECK(metrics.find("oleanderwick_job_intake_seconds_count{source=\"read\"} 1\n") != std::string::npos);
    CHECK(metrics.find("oleanderwick_job_intake_seconds_sum{source=\"read\"} 0.109\n") != std::string::npos);
}

TEST_CASE("notices of ended jobs, and of jobs that are not in the store, change nothing", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.ended.insert("old");
    for (const OwnerNotice::Kind kind : {job, cancel}) {
        fixture.notify(kind, "old");
        fixture.notify(kind, "none");
    }
    fixture.run(2000);
    CHECK(fixture.store.reads == 1);
    CHECK(fixture.jobs.empty());
    CHECK(fixture.cancelled == std::vector<std::string>{"old"});
}

TEST_CASE("a cancel of a known job is applied at once, and of another one together with the job", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.put("q/j/known");
    fixture.run(100);
    fixture.model.silenceWatches();
    fixture.notify(cancel, "known");
    CHECK(fixture.cancelled == std::vector<std::string>{"known"});
    fixture.put("q/j/new");
    fixture.notify(cancel, "new");
    CHECK(fixture.cancelled.size() == 1);
    fixture.run(150);
    CHECK(fixture.cancelled.back() == "new");
}

TEST_CASE("jobs are read once the store no longer refuses it, and once the stored state is restored", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.model.silenceWatches();
    fixture.store.refusesReads = true;
    fixture.put("q/j/a");
    fixture.notify(job, "a");
    fixture.run(1000);
    CHECK(fixture.store.reads >= 5);
    CHECK(fixture.store.reads <= 10);
    fixture.store.refusesReads = false;
    fixture.run(150);
    CHECK(fixture.jobs.contains("q/j/a"));
    fixture.ready = false;
    fixture.put("q/j/b");
    fixture.notify(job, "b");
    fixture.run(500);
    CHECK_FALSE(fixture.jobs.contains("q/j/b"));
    fixture.ready = true;
    fixture.run(150);
    CHECK(fixture.jobs.contains("q/j/b"));
}

TEST_CASE("a process that was frozen handles what the watch sent meanwhile before it reads", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.put("q/j/a");
    fixture.notify(job, "a");
    fixture.executor.freezeUntil(fixture.timeline.now() + std::chrono::seconds{3});
    fixture.run(4000);
    CHECK(fixture.jobs.contains("q/j/a"));
    CHECK(fixture.store.reads == 0);
}

TEST_CASE("workers of instances that are up are read while the registry's watch is silent", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.model.silenceWatches();
    fixture.put("servers/new");
    jobs::InstancePort::Instances instances;
    instances["i-1"] = {"i-1", "pool", "new", jobs::InstanceState::Up, {}, {}};
    instances["i-2"] = {"i-2", "pool", "moving", jobs::InstanceState::Moving, {}, {}};
    instances["i-3"] = {"i-3", "pool", "", jobs::InstanceState::Up, {}, {}};
    fixture.missed.handleInstances(instances);
    fixture.run(150);
    CHECK(fixture.workers == std::set<std::string>{"servers/new"});
    CHECK(fixture.store.reads == 1);
}

TEST_CASE("the removal of a worker that was only ever read is noticed by the next listing", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.model.silenceWatches();
    fixture.put("servers/short");
    fixture.workerWatcher.fetch("servers/short", [&fixture](FetchResult result, const jobs::StoreItem &item) {
        CHECK(result == FetchResult::Found);
        fixture.workers.insert(item.key);
    });
    fixture.run(10);
    fixture.remove("servers/short");
    fixture.put("servers/other");
    fixture.model.compact();
    fixture.run(100);
    CHECK(fixture.workers == std::set<std::string>{"servers/other"});
}

TEST_CASE("a listing that is older than a read does not remove what was read", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.model.silenceWatches();
    fixture.put("servers/first");
    fixture.model.compact();
    // The cut of the watch takes 20 ms, the listing another 24 ms; the key is written after the listing was made and read before it arrives.
    fixture.store.listDelay = std::chrono::milliseconds{20};
    fixture.run(25);
    fixture.put("servers/later");
    fixture.model.silenceWatches();
    fixture.workers.insert("servers/later");
    FetchResult result = FetchResult::Failed;
    fixture.workerWatcher.fetch("servers/later", [&result](FetchResult fetched, const jobs::StoreItem &) {
        result = fetched;
    });
    fixture.run(100);
    CHECK(result == FetchResult::Found);
    CHECK(fixture.workers == std::set<std::string>{"servers/first", "servers/later"});
}

TEST_CASE("what was read is discarded if the watch has delivered the key meanwhile", "[missed]")
{
    MissedChangesFixture fixture;
    fixture.store.watchDelay = std::chrono::milliseconds{1};
    fixture.put("servers/a");
    fixture.run(100);
    FetchResult result = FetchResult::Found;
    fixture.workerWatcher.fetch("servers/a", [&result](FetchResult fetched, const jobs::StoreItem &) {
        result = fetched;
    });
    fixture.run(2);
    fixture.remove("servers/a");
    fixture.run(100);
    CHECK(result == FetchResult::Superseded);
    CHECK(fixture.workers.empty());
}
