#pragma once

#include <string>

#include "emulator/store_model.hpp"
#include "emulator/timeline.hpp"
#include "oleanderwick/jobnode/log_sink.hpp"

namespace oleanderwick::test
{

/** @brief Connection to a `StoreModel` in virtual time; calls take 4 ms, replies to watches and listings as long as set, and reads can be made to fail. */
class ModelStore final : public jobs::CoordinationStore
{
public:
    ModelStore(emulator::Timeline &timeline, emulator::StoreModel &model)
        : m_timeline{timeline}
        , m_model{model}
    {
    }

    void read(const std::string &key, OnReply onReply) override
    {
        ++reads;
        later(std::move(onReply), [this, key] {
            jobs::StoreReply refusal;
            refusal.outcome = jobs::StoreOutcome::Refused;
            return refusesReads ? refusal : m_model.read(key);
        });
    }
    void list(const std::string &prefix, const std::string &after, OnReply onReply) override
    {
        const OnReply delayed = [this, reply = std::move(onReply)](const jobs::StoreReply &listing) {
            m_timeline.after(listDelay, [reply, listing] {
                reply(listing);
            });
        };
        later(delayed, [this, prefix, after] {
            return m_model.list(prefix, after);
        });
    }
    void watch(const std::string &prefix, std::int64_t after, core::Duration, OnReply onReply) override
    {
        m_model.watch(prefix, after, [this, reply = std::move(onReply)](const jobs::StoreReply &changes) {
            m_timeline.after(watchDelay, [reply, changes] {
                reply(changes);
            });
        });
    }
    void commit(const jobs::StoreChange &change, OnReply onReply) override
    {
        later(std::move(onReply), [this, change] {
            return m_model.commit(change);
        });
    }
    void grant(core::Duration ttl, OnReply onReply) override
    {
        later(std::move(onReply), [this, ttl] {
            return m_model.grant(ttl, m_timeline.now());
        });
    }
    void renew(std::int64_t lease, OnReply onReply) override
    {
        later(std::move(onReply), [this, lease] {
            return m_model.renew(lease, m_timeline.now());
        });
    }

    int reads{0};
    bool refusesReads{false};
    core::Duration listDelay{0};
    core::Duration watchDelay{std::chrono::milliseconds{20}};

private:
    void later(OnReply onReply, std::function<jobs::StoreReply()> work)
    {
        // The store acts halfway, so that a change can overtake the reply.
        constexpr core::Duration oneWay = std::chrono::milliseconds{2};
        m_timeline.after(oneWay, [this, reply = std::move(onReply), call = std::move(work)] {
            const jobs::StoreReply result = call();
            m_timeline.after(oneWay, [reply, result] {
                reply(result);
            });
        });
    }

    emulator::Timeline &m_timeline;
    emulator::StoreModel &m_model;
};

/** @brief Log output that discards all batches. */
class DiscardingOutput final : public jobnode::LogOutput
{
public:
    bool tryWrite(std::string) override
    {
        return true;
    }
};

} // namespace oleanderwick::test
