#include "owner_notifier.hpp"

#include <algorithm>
#include <deque>

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration noticeBatchDelay = std::chrono::milliseconds{5};
constexpr std::size_t maxPendingNotices = 1024;
/** Longer than watches are silent before a compaction (3.4 s), after which the owner lists all jobs. */
constexpr core::Duration maxNoticeAge = std::chrono::seconds{4};
constexpr core::Duration lookUpInterval = std::chrono::milliseconds{250};

} // namespace internal

struct OwnerNotifier::State : std::enable_shared_from_this<OwnerNotifier::State> {
    struct Entry {
        OwnerNotice notice;
        core::TimePoint queuedAt;
        bool wasSent{false};
    };

    State(core::Executor &itsExecutor, OwnerNoticePort &itsPort, LogSink &itsLog, LookUp itsLookUp)
        : executor{itsExecutor}
        , port{itsPort}
        , log{itsLog}
        , lookUp{std::move(itsLookUp)}
    {
    }

    void flushAfter(core::Duration delay)
    {
        const core::TimePoint at = executor.now() + delay;
        if (pending.empty() || (flushScheduled && flushAt <= at)) {
            return;
        }
        flushScheduled = true;
        flushAt = at;
        executor.after(delay, [self = shared_from_this(), number = ++flushNumber] {
            if (number == self->flushNumber && !self->stopped) {
                self->flushScheduled = false;
                self->flush();
            }
        });
    }

    void flush()
    {
        if (inFlight) {
            return;
        }
        const core::TimePoint now = executor.now();
        drop(static_cast<std::size_t>(std::find_if(pending.begin(),
                                                   pending.end(),
                                                   [now](const Entry &entry) {
                                                       return now - entry.queuedAt <= internal::maxNoticeAge;
                                                   })
                                      - pending.begin()));
        if (pending.empty()) {
            return;
        }
        if (inDoubt || !owner.has_value()) {
            findOwner();
        } else if (owner->address.empty()) {
            drop(pending.size());
        } else {
            send();
        }
    }

    /** Drops the oldest notices. */
    void drop(std::size_t count)
    {
        if (count > 0) {
            log.metrics().count("owner_notice_dropped", count);
            pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count));
        }
    }

    void findOwner()
    {
        if (lookUpInFlight) {
            return;
        }
        const core::Duration wait = lookedUpAt + internal::lookUpInterval - executor.now();
        if (wait > core::Duration::zero()) {
            flushAfter(wait);
            return;
        }
        lookedUpAt = executor.now();
        lookUpInFlight = true;
        lookUp([self = shared_from_this()](bool succeeded) {
            self->lookUpInFlight = false;
            self->inDoubt = self->inDoubt && !succeeded;
            self->flushAfter(core::Duration::zero());
        });
    }

    void send()
    {
        const std::size_t count = std::min(pending.size(), maxNoticesPerMessage);
        std::vector<Entry> sent{pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count)};
        pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count));
        std::vector<OwnerNotice> notices;
        notices.reserve(count);
        for (const Entry &entry : sent) {
            notices.push_back(entry.notice);
            notices.back().ageMs = core::milliseconds(executor.now() - entry.queuedAt);
        }
        inFlight = true;
        log.metrics().count("owner_notice_sent", count);
        const std::string address = owner->address;
        port.send(address, notices, [self = shared_from_this(), address, entries = std::move(sent)](NoticeOutcome outcome) {
            self->inFlight = false;
            if (!self->stopped) {
                self->handleReply(address, entries, outcome);
            }
        });
    }

    void handleReply(const std::string &address, const std::vector<Entry> &sent, NoticeOutcome outcome)
    {
        if (outcome != NoticeOutcome::Delivered) {
            const std::size_t again = static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [](const Entry &entry) {
                return !entry.wasSent;
            }));
            telemetry::Event event{"owner_notices_undelivered"};
            event.with("address", address).with("outcome", static_cast<std::int64_t>(outcome)).with("count", static_cast<std::int64_t>(sent.size()));
            event.with("again", static_cast<std::int64_t>(again)).with("age_ms", core::milliseconds(executor.now() - sent.front().queuedAt));
            log.add("owner_notices_undelivered", event);
            inDoubt = true;
            for (auto entry = sent.rbegin(); entry != sent.rend(); ++entry) {
                if (!entry->wasSent) {
                    pending.push_front(Entry{entry->notice, entry->queuedAt, true});
                }
            }
            log.metrics().count("owner_notice_dropped", sent.size() - again);
        }
        flushAfter(core::Duration::zero());
    }

    core::Executor &executor;
    OwnerNoticePort &port;
    LogSink &log;
    LookUp lookUp;
    bool stopped{false};
    std::optional<OwnerRecord> owner;
    bool inDoubt{false}; /**< The owner has to be looked up before the next message. */
    bool inFlight{false};
    bool lookUpInFlight{false};
    core::TimePoint lookedUpAt;
    bool flushScheduled{false};
    core::TimePoint flushAt;
    std::uint64_t flushNumber{0};
    std::deque<Entry> pending; /**< Oldest first. */
};

OwnerNotifier::OwnerNotifier(core::Executor &executor, OwnerNoticePort &port, LogSink &log, LookUp lookUp)
    : m_state{std::make_shared<State>(executor, port, log, std::move(lookUp))}
{
}

OwnerNotifier::~OwnerNotifier()
{
    m_state->stopped = true;
}

void OwnerNotifier::setOwner(const std::optional<OwnerRecord> &owner)
{
    m_state->inDoubt = m_state->inDoubt && m_state->owner == owner;
    m_state->owner = owner;
    m_state->flushAfter(core::Duration::zero());
}

void OwnerNotifier::notify(const OwnerNotice &notice)
{
    const bool isTaken = !m_state->owner.has_value() || !m_state->owner->address.empty();
    if (!isTaken || !isNoticeId(notice.id)) {
        return;
    }
    if (m_state->pending.size() >= internal::maxPendingNotices) {
        m_state->drop(1);
    }
    m_state->pending.push_back({notice, m_state->executor.now(), false});
    m_state->flushAfter(internal::noticeBatchDelay);
}

} // namespace oleanderwick::jobnode
