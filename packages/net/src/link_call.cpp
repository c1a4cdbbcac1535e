#include "link_call.h"

#include "link_codec.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t TargetFrameBytes = std::size_t{64} * 1024; ///< Messages are added to a queued frame up to this size.
constexpr std::size_t MaxMessageOverheadBytes = 16; ///< Upper bound on the encoding overhead of a message in a frame, in bytes.

} // namespace

LinkCall::LinkCall(LinkNumber number, const LinkHandlers &handlers, std::function<void(LinkCall &)> onEnded)
    : m_number(number)
    , m_handlers(handlers)
    , m_onEnded(std::move(onEnded))
{
    m_readTag.task = [this](bool ok) {
        onRead(ok);
    };
    m_writeTag.task = [this](bool ok) {
        onWritten(ok);
    };
    m_finishTag.task = [this](bool) {
        m_phase = LinkPhase::Closed;
        m_onEnded(*this);
    };
}

bool LinkCall::send(const LinkMessage &message)
{
    if (m_phase == LinkPhase::Closing || m_phase == LinkPhase::Closed) {
        return false;
    }
    Wire::LinkMessage wire;
    encode(message, wire);
    const std::size_t bytes = wire.ByteSizeLong() + MaxMessageOverheadBytes;
    if (bytes > MaxLinkFrameBytes) {
        return false;
    }
    const bool firstBeingWritten = m_writing && m_outQueue.size() == 1;
    if (m_outQueue.empty() || firstBeingWritten || m_outQueue.back().bytes + bytes > TargetFrameBytes) {
        m_outQueue.emplace_back();
    }
    *m_outQueue.back().wire.add_messages() = std::move(wire);
    m_outQueue.back().bytes += bytes;
    m_backlogBytes += bytes;
    if (m_backlogBytes > MaxLinkBacklogBytes) {
        close();
        return false;
    }
    if (m_phase == LinkPhase::Open) {
        write();
    }
    return true;
}

void LinkCall::close()
{
    if (m_phase == LinkPhase::Opening || m_phase == LinkPhase::Open) {
        m_phase = LinkPhase::Closing;
        cancel();
        finish();
    }
}

void LinkCall::disableHandlers()
{
    m_handlersDisabled = true;
}

LinkNumber LinkCall::number() const
{
    return m_number;
}

bool LinkCall::isOpening() const
{
    return m_phase == LinkPhase::Opening;
}

bool LinkCall::shouldReportClose() const
{
    return m_reportsClose && !m_handlersDisabled;
}

void LinkCall::enableCloseReport()
{
    m_reportsClose = true;
}

void LinkCall::markOpen(const LinkIdentity &peer)
{
    m_phase = LinkPhase::Open;
    m_reportsClose = true;
    if (!m_handlersDisabled) {
        m_handlers.onOpened(m_number, peer);
    }
    if (m_phase == LinkPhase::Open) {
        read();
        write();
    }
}

CompletionTag *LinkCall::openingStep(std::function<void()> next)
{
    m_openingStepPending = true;
    m_openingTag.task = [this, next = std::move(next)](bool ok) {
        m_openingStepPending = false;
        if (ok && m_phase == LinkPhase::Opening) {
            // `next` may assign a new function to the tag, which destroys this one while it runs; so a copy of `next` is called.
            const auto run = next;
            run();
        } else {
            finish();
        }
    };
    return &m_openingTag;
}

void LinkCall::finish()
{
    m_phase = LinkPhase::Closing;
    if (!m_openingStepPending && !m_reading && !m_writing && !m_finishing) {
        m_finishing = true;
        startFinish(m_finishTag);
    }
}

void LinkCall::read()
{
    m_reading = true;
    m_inFrame.Clear();
    startRead(m_inFrame, m_readTag);
}

void LinkCall::write()
{
    if (!m_writing && !m_outQueue.empty()) {
        m_writing = true;
        startWrite(m_outQueue.front().wire, m_writeTag);
    }
}

void LinkCall::onRead(bool ok)
{
    for (int i = 0; ok && i < m_inFrame.messages_size() && m_phase == LinkPhase::Open; ++i) {
        deliver(m_inFrame.messages(i));
    }
    m_reading = false;
    if (ok && m_phase == LinkPhase::Open) {
        read();
        return;
    }
    if (m_phase == LinkPhase::Open) {
        cancel();
    }
    finish();
}

void LinkCall::onWritten(bool ok)
{
    m_writing = false;
    m_backlogBytes -= m_outQueue.front().bytes;
    m_outQueue.pop_front();
    if (ok && m_phase == LinkPhase::Open) {
        write();
        return;
    }
    if (m_phase == LinkPhase::Open) {
        cancel();
    }
    finish();
}

void LinkCall::deliver(const Wire::LinkMessage &wire)
{
    LinkMessage message;
    Error reason;
    if (m_handlersDisabled) {
        return;
    }
    if (decode(wire, message, reason)) {
        m_handlers.onMessage(m_number, std::move(message));
    } else if (m_handlers.onDecodeError) {
        m_handlers.onDecodeError(m_number, reason);
    }
}

} // namespace Vanillahall
