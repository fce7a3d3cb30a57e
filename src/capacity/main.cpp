#include <chrono>
#include <functional>
#include <iostream>

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include "oleanderwick/config/config.hpp"
#include "oleanderwick/dispatch/dispatch.hpp"
#include "oleanderwick/peer/peer.hpp"

namespace
{

namespace allotment = oleanderwick::allotment;
namespace config = oleanderwick::config;
namespace core = oleanderwick::core;
namespace dispatch = oleanderwick::dispatch;
namespace membership = oleanderwick::membership;
namespace peer = oleanderwick::peer;

constexpr std::size_t fleetSize = 7;

/** Prints a line `name,size,value,unit`. */
void printRow(const char *name, std::size_t size, double value, const char *unit)
{
    std::cout << absl::StrFormat("%s,%d,%.6g,%s\n", name, size, value, unit);
}

/** Repeats work for at least 50 ms of the thread's processor time, and returns the mean processor time of one run in microseconds. */
double meanCpuMicroseconds(const std::function<void()> &work)
{
    const auto threadCpuUs = [] {
        ::timespec time{};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    };
    constexpr double minMeasuredUs = 50'000.0;
    const double startUs = threadCpuUs();
    std::size_t runs = 0;
    double spentUs = 0.0;
    do {
        work();
        ++runs;
        spentUs = threadCpuUs() - startUs;
    } while (spentUs < minMeasuredUs);
    return spentUs / static_cast<double>(runs);
}

config::Document makeDocument(std::size_t pools, std::size_t teams, std::size_t instances)
{
    config::Document document;
    for (std::size_t index = 0; index < pools; ++index) {
        const core::PoolId pool{absl::StrFormat("pool-%02d", index)};
        document.pools.emplace(pool, config::Pool{});
        config::Queue queue;
        queue.pool = pool;
        for (std::size_t team = index; team < teams; team += pools) {
            queue.teams.emplace_back(absl::StrFormat("team-%03d", team));
        }
        document.queues.emplace(core::QueueId{absl::StrFormat("queue-%02d", index)}, queue);
    }
    for (std::size_t index = 0; index < teams; ++index) {
        config::Team team{1, 200, {}};
        team.keys.emplace(core::KeyId{absl::StrFormat("key-%03d", index)}, config::TeamKey{std::string(64, 'a')});
        document.teams.emplace(core::TeamId{absl::StrFormat("team-%03d", index)}, team);
    }
    for (std::size_t index = 0; index < instances; ++index) {
        config::Instance instance;
        instance.pool = core::PoolId{absl::StrFormat("pool-%02d", index % pools)};
        instance.address = absl::StrFormat("127.%d.%d.%d:9000", 1 + index / 60'000, index / 250 % 250, index % 250 + 1);
        instance.zone = absl::StrFormat("zone-%d", index % 8);
        instance.rack = absl::StrFormat("rack-%04d", index / 4);
        document.instances.emplace(core::InstanceId{absl::StrFormat("i-%05d", index)}, instance);
    }
    return document;
}

void measureConfiguration()
{
    for (const std::size_t instances : {50U, 500U, 5500U}) {
        config::Record record;
        record.version = 1;
        record.document = makeDocument(49, 130, instances);
        const std::string text = config::toText(record);
        printRow("configuration bytes by instances", instances, static_cast<double>(text.size()), "B");
        printRow("configuration read by instances",
                 instances,
                 meanCpuMicroseconds([&text] {
                     (void)config::recordFromText(text);
                 }),
                 "us");
    }
}

membership::Digest makeDigest(std::size_t teams)
{
    membership::Digest digest;
    digest.node = core::NodeId{"node-1.0123456789ab"};
    digest.ledgerSequences.assign(allotment::PermitHolder::shardCount, 1'000'000);
    digest.alive.assign(fleetSize, digest.node);
    for (std::size_t index = 0; index < teams; ++index) {
        const core::TeamId team{absl::StrFormat("team-%03d", index)};
        digest.demands.push_back(allotment::TeamDemand{core::PoolId{absl::StrFormat("pool-%02d", index % 49)}, team, 20, 5, 25});
    }
    return digest;
}

void measureDigests()
{
    for (const std::size_t teams : {10U, 40U, 130U}) {
        const membership::Digest digest = makeDigest(teams);
        const std::string text = peer::toText(digest);
        printRow("digest bytes by teams with demand", teams, static_cast<double>(text.size()), "B");
        printRow("digest written and read by teams with demand",
                 teams,
                 meanCpuMicroseconds([&digest] {
                     (void)peer::digestFromText(peer::toText(digest));
                 }),
                 "us");
    }
}

void measureLedger()
{
    for (const std::size_t instances : {50U, 500U, 5500U}) {
        allotment::Ledger ledger;
        for (std::size_t index = 0; index < instances / allotment::PermitHolder::shardCount; ++index) {
            for (std::size_t node = 0; node < fleetSize; ++node) {
                const allotment::LimitId unit{allotment::LimitId::Kind::Instance, absl::StrFormat("i-%05d", index)};
                ledger.claim(core::NodeId{absl::StrFormat("node-%d.0123456789ab", node)}, unit, 1, 8);
            }
        }
        printRow("ledger shard bytes by instances", instances, static_cast<double>(ledger.toText().size()), "B");
    }
}

/** Answers all calls of a step like a store without conflicts. */
void answerLedgerCalls(allotment::PermitHolder &holder, std::uint64_t &revision)
{
    const allotment::LedgerCalls step = holder.step();
    for (const allotment::LedgerRead &read : step.reads) {
        holder.onRead(read.shard, allotment::StoredLedger{});
    }
    for (const allotment::LedgerWrite &write : step.writes) {
        holder.onWritten(write.shard, allotment::WriteOutcome::Written, allotment::StoredLedger{++revision, write.value});
    }
}

void measureHolder()
{
    for (const std::size_t instances : {50U, 500U, 5500U}) {
        config::Record record;
        record.version = 1;
        record.document = makeDocument(49, 130, instances);
        allotment::PermitHolder holder{core::NodeId{"node-1"}, fleetSize};
        holder.configure(config::Snapshot{record});
        holder.setDemands(makeDigest(130).demands);
        for (std::size_t node = 2; node <= fleetSize; ++node) {
            holder.setPeer(core::NodeId{absl::StrFormat("node-%d", node)}, makeDigest(130).demands, {}, {});
        }
        std::uint64_t revision = 0;
        const std::function<void()> step = [&holder, &revision] {
            answerLedgerCalls(holder, revision);
        };
        holder.plan();
        printRow("step of the holder that moves rights, by instances", instances, meanCpuMicroseconds(step), "us");
        for (int round = 0; round < 20; ++round) {
            holder.plan();
            step();
        }
        printRow("plan of the holder by instances",
                 instances,
                 meanCpuMicroseconds([&holder] {
                     holder.plan();
                 }),
                 "us");
        printRow("step of the holder at rest, by instances", instances, meanCpuMicroseconds(step), "us");
    }
}

void measureDispatcher()
{
    for (const std::size_t instances : {50U, 500U, 5500U}) {
        config::Record record;
        record.version = 1;
        record.document = makeDocument(49, 130, instances);
        for (std::pair<const core::TeamId, config::Team> &team : record.document.teams) {
            for (std::pair<const core::KeyId, config::TeamKey> &key : team.second.keys) {
                key.second.hash = config::sha256Hex("secret");
            }
        }
        allotment::PermitHolder holder{core::NodeId{"node-1"}, 1};
        dispatch::Dispatcher dispatcher{"zone-1", 1, holder};
        core::TimePoint now{std::chrono::hours{1}};
        (void)dispatcher.configure(std::make_shared<const config::Snapshot>(record), now);
        std::uint64_t revision = 0;
        for (int round = 0; round < 4; ++round) {
            holder.plan();
            answerLedgerCalls(holder, revision);
        }
        std::uint64_t number = 0;
        printRow("decisions of one request by instances",
                 instances,
                 meanCpuMicroseconds([&] {
                     dispatch::Arrival arrival;
                     arrival.number = ++number;
                     arrival.queue = core::QueueId{"queue-07"};
                     arrival.key = config::PresentedKey{core::KeyId{"key-007"}, "secret"};
                     (void)dispatcher.handleArrival(arrival, now);
                     now += std::chrono::microseconds{100};
                     (void)dispatcher.handleAttemptResult(dispatch::AttemptResult{number, oleanderwick::routing::ExchangeOutcome::Complete, false}, now);
                     (void)dispatcher.takeCompletions();
                 }),
                 "us");
        printRow("tick of the dispatcher by instances",
                 instances,
                 meanCpuMicroseconds([&] {
                     now += std::chrono::milliseconds{10};
                     (void)dispatcher.tick(now);
                 }),
                 "us");
    }
}

} // namespace

int main()
{
    if (sodium_init() < 0) {
        return 1;
    }
    measureConfiguration();
    measureDigests();
    measureLedger();
    measureHolder();
    measureDispatcher();
    return 0;
}
