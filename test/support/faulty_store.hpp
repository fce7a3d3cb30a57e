#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "emulator/store_model.hpp"
#include "emulator/timeline.hpp"

namespace oleanderwick::test
{

/** @brief What happens to a commit. */
struct Fault {
    enum class Kind : std::uint8_t {
        None,
        NotSent, /**< Refused without effect. */
        LostReply, /**< Takes effect after the delay, without a reply. */
        LostCall, /**< No effect and no reply. */
        LostItems, /**< Works, but the reply has no items. */
    };
    Kind kind{Kind::None};
    core::Duration delay{std::chrono::milliseconds{2}};
};

/** @brief Connection to a `StoreModel` whose commits are lost, delayed and reordered as scripted; calls that are not scripted work. */
class FaultyStore final : public jobs::CoordinationStore
{
public:
    FaultyStore(emulator::Timeline &timeline, emulator::StoreModel &model)
        : m_timeline{timeline}
        , m_model{model}
    {
    }

    void read(const std::string &key, OnReply onReply) override
    {
        run(Fault{}, std::move(onReply), [this, key] {
            return m_model.read(key);
        });
    }
    void list(const std::string &, const std::string &, OnReply) override
    {
    }
    void watch(const std::string &, std::int64_t, core::Duration, OnReply) override
    {
    }
    void commit(const jobs::StoreChange &change, OnReply onReply) override
    {
        changes.push_back(change);
        Fault fault;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        run(fault, std::move(onReply), [this, change] {
            return m_model.commit(change);
        });
    }
    void grant(core::Duration ttl, OnReply onReply) override
    {
        ++grants;
        const core::Duration granted = std::min(ttl, maxTtl);
        run(Fault{grantsFail ? Fault::Kind::NotSent : Fault::Kind::None, std::chrono::milliseconds{2}}, std::move(onReply), [this, granted] {
            return m_model.grant(granted, m_timeline.now());
        });
    }
    void renew(std::int64_t, OnReply) override
    {
    }

    std::deque<Fault> faults;
    std::vector<jobs::StoreChange> changes;
    core::Duration maxTtl{std::chrono::hours{1}};
    bool grantsFail{false};
    int grants{0};

private:
    void run(const Fault &fault, OnReply onReply, std::function<jobs::StoreReply()> work)
    {
        const bool isSent = fault.kind != Fault::Kind::NotSent && fault.kind != Fault::Kind::LostCall;
        if (fault.kind == Fault::Kind::LostCall || fault.kind == Fault::Kind::LostReply) {
            m_timeline.after(std::chrono::milliseconds{1500}, [onReply] {
                onReply(jobs::StoreReply{});
            });
        }
        m_timeline.after(fault.delay, [this, fault, isSent, onReply, call = std::move(work)] {
            jobs::StoreReply reply;
            reply.outcome = jobs::StoreOutcome::Refused;
            if (isSent) {
                m_model.expire(m_timeline.now());
                reply = call();
            }
            if (fault.kind == Fault::Kind::LostItems) {
                reply.items.clear();
            }
            if (fault.kind != Fault::Kind::LostCall && fault.kind != Fault::Kind::LostReply) {
                m_timeline.after(std::chrono::milliseconds{2}, [onReply, reply] {
                    onReply(reply);
                });
            }
        });
    }

    emulator::Timeline &m_timeline;
    emulator::StoreModel &m_model;
};

} // namespace oleanderwick::test
