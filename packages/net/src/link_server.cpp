#include "link_auth.h"
#include "link_call.h"
#include "link_tls.h"

#include <chrono>
#include <unordered_map>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

namespace Vanillahall {

namespace {

/** Server end of a link. */
class ServerLinkCall : public LinkCall
{
public:
    using LinkCall::LinkCall;

    /** Waits for a peer. @param onAccepted Called with false if the server is stopping. */
    void accept(Wire::LinkService::AsyncService &service, grpc::ServerCompletionQueue *queue, std::function<void(bool)> onAccepted)
    {
        m_acceptTag.task = std::move(onAccepted);
        service.RequestLink(&m_context, &m_stream, queue, queue, &m_acceptTag);
    }

    /** Verifies the key of the peer, then accepts or rejects the link. */
    void authenticate(const LinkIdentity &self)
    {
        auto peer = readIdentity(m_context.client_metadata());
        if (!peer || !equalKeys(peer->key, self.key)) {
            m_status = grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "wrong key");
            finish();
            return;
        }
        peer->key.clear();
        writeIdentity(self, false, [this](const char *name, const std::string &value) {
            m_context.AddInitialMetadata(name, value);
        });
        m_stream.SendInitialMetadata(openingStep([this, peer = std::move(*peer)] {
            markOpen(peer);
        }));
    }

protected:
    void startRead(Wire::LinkFrame &frame, CompletionTag &tag) override
    {
        m_stream.Read(&frame, &tag);
    }

    void startWrite(const Wire::LinkFrame &frame, CompletionTag &tag) override
    {
        m_stream.Write(frame, &tag);
    }

    void startFinish(CompletionTag &tag) override
    {
        m_stream.Finish(m_status, &tag);
    }

    void cancel() override
    {
        m_context.TryCancel();
    }

private:
    grpc::ServerContext m_context;
    grpc::ServerAsyncReaderWriter<Wire::LinkFrame, Wire::LinkFrame> m_stream{&m_context};
    grpc::Status m_status = grpc::Status::OK;
    CompletionTag m_acceptTag;
};

} // namespace

/** Internal state of a link server. */
struct LinkServerState
{
    LinkServerState(
        Loop &loopOfServer, std::string addressOfServer, LinkIdentity selfOfServer, TlsFiles files, LinkHandlers handlersOfServer);
    ~LinkServerState();
    LinkServerState(const LinkServerState &) = delete;
    LinkServerState &operator=(const LinkServerState &) = delete;

    std::optional<std::uint16_t> listen(Error &reason);
    void acceptNext();
    void onAccepted(bool ok);
    void onEnded(LinkCall &call);
    LinkCall *find(LinkNumber number);

    Loop &loop;                                                            ///< The loop.
    std::string address;                                                   ///< Address to listen on.
    LinkIdentity self;                                                     ///< This process.
    TlsFiles tls;                                                          ///< TLS files, if TLS is used.
    LinkHandlers handlers;                                                 ///< Callbacks.
    grpc::ServerCompletionQueue *queue = nullptr;                          ///< Owned by `completions`.
    std::unique_ptr<CompletionThread> completions;                         ///< Passes completed operations to the loop.
    Wire::LinkService::AsyncService service;                               ///< The service.
    std::unique_ptr<grpc::Server> server;                                  ///< The server.
    std::unique_ptr<ServerLinkCall> waiting;                               ///< Call that waits for the next peer.
    std::unordered_map<LinkNumber, std::unique_ptr<ServerLinkCall>> calls; ///< Links that are not closed.
    std::unique_ptr<LinkCall> lastEnded;                                   ///< Retained because its own function may still be running.
    std::uint64_t lastNumber = 0;                                          ///< Number of the newest link.
    bool stopping = false;                                                 ///< True while being destroyed.
};

LinkServerState::LinkServerState(
    Loop &loopOfServer, std::string addressOfServer, LinkIdentity selfOfServer, TlsFiles files, LinkHandlers handlersOfServer)
    : loop(loopOfServer)
    , address(std::move(addressOfServer))
    , self(std::move(selfOfServer))
    , tls(std::move(files))
    , handlers(std::move(handlersOfServer))
{
}

LinkServerState::~LinkServerState()
{
    if (!server) {
        return;
    }
    stopping = true;
    for (const auto &[number, call] : calls) {
        call->disableHandlers();
        call->close();
    }
    while (!calls.empty()) {
        completions->wait();
    }
    server->Shutdown(std::chrono::system_clock::now());
    while (waiting) {
        completions->wait();
    }
}

std::optional<std::uint16_t> LinkServerState::listen(Error &reason)
{
    const auto credentials = serverCredentials(tls, reason);
    if (!credentials) {
        return std::nullopt;
    }
    grpc::ResourceQuota quota;
    quota.Resize(MaxGrpcBufferBytes);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, credentials, &port);
    builder.RegisterService(&service);
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(MaxLinkFrameBytes);
    builder.SetMaxSendMessageSize(MaxLinkFrameBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    auto ownedQueue = builder.AddCompletionQueue();
    queue = ownedQueue.get();
    server = builder.BuildAndStart();
    if (!server || port == 0) {
        ownedQueue->Shutdown();
        server.reset();
        reason.peer = address;
        reason.message = "can't listen on " + address;
        return std::nullopt;
    }
    completions = std::make_unique<CompletionThread>(loop, std::move(ownedQueue));
    acceptNext();
    return static_cast<std::uint16_t>(port);
}

void LinkServerState::acceptNext()
{
    waiting = std::make_unique<ServerLinkCall>(LinkNumber{++lastNumber}, handlers, [this](LinkCall &call) {
        onEnded(call);
    });
    waiting->accept(service, queue, [this](bool ok) {
        onAccepted(ok);
    });
}

void LinkServerState::onAccepted(bool ok)
{
    if (!ok) {
        lastEnded = std::move(waiting);
        return;
    }
    ServerLinkCall &call = *calls.emplace(waiting->number(), std::move(waiting)).first->second;
    acceptNext();
    if (stopping) {
        call.disableHandlers();
        call.close();
    } else {
        call.authenticate(self);
    }
}

void LinkServerState::onEnded(LinkCall &call)
{
    const auto it = calls.find(call.number());
    const bool report = call.shouldReportClose();
    lastEnded = std::move(it->second);
    calls.erase(it);
    if (report) {
        handlers.onClosed(call.number());
    }
}

LinkCall *LinkServerState::find(LinkNumber number)
{
    const auto it = calls.find(number);
    return it == calls.end() ? nullptr : it->second.get();
}

LinkServer::LinkServer(Loop &loop, std::string address, LinkIdentity self, TlsFiles tls, LinkHandlers handlers)
    : m_state(std::make_unique<LinkServerState>(loop, std::move(address), std::move(self), std::move(tls), std::move(handlers)))
{
}

LinkServer::~LinkServer() = default;

std::optional<std::uint16_t> LinkServer::listen(Error &reason)
{
    return m_state->listen(reason);
}

bool LinkServer::send(LinkNumber link, const LinkMessage &message)
{
    LinkCall *call = m_state->find(link);
    return call != nullptr && call->send(message);
}

void LinkServer::close(LinkNumber link)
{
    if (LinkCall *call = m_state->find(link)) {
        call->close();
    }
}

} // namespace Vanillahall
