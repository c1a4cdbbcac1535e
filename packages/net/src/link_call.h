/** Reading, writing and closing of one link. The derived classes implement the differences between client and server. */
#pragma once

#include "completion_thread.h"
#include "vanillahall/net/link_base.h"

#include <deque>
#include <functional>
#include <string>

#include <link.grpc.pb.h>

namespace Vanillahall {

constexpr int MaxLinkFrameBytes = 16 * 1024 * 1024;                        ///< Maximum frame size.
constexpr std::size_t MaxGrpcBufferBytes = std::size_t{64} * 1024 * 1024;  ///< Memory that gRPC may use for buffers.
constexpr std::size_t MaxLinkBacklogBytes = std::size_t{64} * 1024 * 1024; ///< The link is closed if more bytes than this are queued.

/** State of a link. */
enum class LinkPhase : std::uint8_t {
    Opening, ///< Being opened.
    Open,    ///< Messages can be exchanged.
    Closing, ///< Waiting for pending operations to complete.
    Closed,  ///< No operation is pending.
};

/** One link, at either end. Must only be used on the loop. */
class LinkCall
{
public:
    /** @param onEnded Called once, when no operation is pending any more; it may destroy this object. */
    LinkCall(LinkNumber number, const LinkHandlers &handlers, std::function<void(LinkCall &)> onEnded);
    virtual ~LinkCall() = default;
    LinkCall(const LinkCall &) = delete;
    LinkCall &operator=(const LinkCall &) = delete;

    /** Sends a message, or queues it until the link is open. @return False if it can't be sent. */
    bool send(const LinkMessage &message);

    /** Closes the link. */
    void close();

    /** Suppresses all further calls of handlers. */
    void disableHandlers();

    [[nodiscard]] LinkNumber number() const;

    /** @return True if the link is still being opened. */
    [[nodiscard]] bool isOpening() const;

    /** @return True if onClosed has to be called for this link. */
    [[nodiscard]] bool shouldReportClose() const;

protected:
    virtual void startRead(Wire::LinkFrame &frame, CompletionTag &tag) = 0;
    virtual void startWrite(const Wire::LinkFrame &frame, CompletionTag &tag) = 0;
    virtual void startFinish(CompletionTag &tag) = 0;
    virtual void cancel() = 0;

    /** Marks the link as open, calls onOpened and starts exchanging messages. */
    void markOpen(const LinkIdentity &peer);

    /** @return Tag for one step of opening the link. `next` is called if the step succeeds, otherwise the link is closed. */
    CompletionTag *openingStep(std::function<void()> next);

    /** Finishes the stream as soon as no other operation is pending. */
    void finish();

    /** Requests that onClosed is called even if the link never opens. */
    void enableCloseReport();

private:
    struct Frame
    {
        Wire::LinkFrame wire;  ///< Messages of the frame.
        std::size_t bytes = 0; ///< Approximate size of the messages.
    };

    void read();
    void write();
    void onRead(bool ok);
    void onWritten(bool ok);
    void deliver(const Wire::LinkMessage &wire);

    LinkNumber m_number;
    const LinkHandlers &m_handlers;
    std::function<void(LinkCall &)> m_onEnded;
    LinkPhase m_phase = LinkPhase::Opening;
    bool m_handlersDisabled = false;
    bool m_reportsClose = false;
    bool m_openingStepPending = false;
    bool m_reading = false;
    bool m_writing = false;
    bool m_finishing = false;
    Wire::LinkFrame m_inFrame;
    std::deque<Frame> m_outQueue; // The first frame is being written if m_writing is set.
    std::size_t m_backlogBytes = 0;
    CompletionTag m_openingTag;
    CompletionTag m_readTag;
    CompletionTag m_writeTag;
    CompletionTag m_finishTag;
};

} // namespace Vanillahall
