#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "log_sink.hpp"
#include "owner_notice.hpp"
#include "owner_record.hpp"

namespace oleanderwick::jobnode
{

/** @brief Result of sending notices. */
enum class NoticeOutcome : std::uint8_t {
    Delivered,
    NotOwner, /**< The node that replied is not the owner, or is not sure to be. */
    Undelivered, /**< No usable reply; the notices may have arrived. */
};

/** @brief Sends notices to the owner. Calls do not block; each invokes its callback once, on the event loop's thread. */
class OwnerNoticePort
{
public:
    virtual ~OwnerNoticePort() = default;

    /**
     * @brief Sends a message.
     * @param address Address for notices of the owner.
     * @param notices Notices, at most `maxNoticesPerMessage`.
     * @param onReply Receives the outcome.
     */
    virtual void send(const std::string &address, const std::vector<OwnerNotice> &notices, std::function<void(NoticeOutcome)> onReply) = 0;
};

/**
 * @brief Collects the notices of a node and sends them to the owner; best effort.
 *
 * One message is in flight at a time, so that a slow owner gets fewer and larger ones. After a message that was not delivered the owner is looked up,
 * since the watch of its key may be silent as well, and the notices are sent once more.
 */
class OwnerNotifier
{
public:
    /** @brief Looks up the owner, calls `setOwner` with it, and then its argument with whether that succeeded. */
    using LookUp = std::function<void(std::function<void(bool)>)>;

    /**
     * @brief Creates a notifier that knows no owner.
     * @param executor Runs the timers.
     * @param port Sends the messages.
     * @param log Receives the log events.
     * @param lookUp Looks up the owner.
     */
    OwnerNotifier(core::Executor &executor, OwnerNoticePort &port, LogSink &log, LookUp lookUp);
    ~OwnerNotifier();
    OwnerNotifier(const OwnerNotifier &) = delete;
    OwnerNotifier &operator=(const OwnerNotifier &) = delete;

    /**
     * @brief Sets the owner to which notices are sent.
     * @param owner Owner; without an address notices are dropped, and `std::nullopt` makes them wait for the next owner.
     */
    void setOwner(const std::optional<OwnerRecord> &owner);

    /**
     * @brief Queues a notice; returns before anything is sent.
     * @param notice Notice to send.
     */
    void notify(const OwnerNotice &notice);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode
