#include "status_server.h"

#include "vanillahall/platform/wire_header_func.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Vanillahall::Forward {

namespace {

namespace Http = boost::beast::http;

/** One connection that asks for readiness or metrics. */
class StatusConnection : public std::enable_shared_from_this<StatusConnection>
{
public:
    StatusConnection(std::shared_ptr<ProxyState> proxy, boost::asio::ip::tcp::socket socket)
        : m_proxy(std::move(proxy))
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
    {
    }

    void read()
    {
        constexpr std::chrono::seconds IdleLimit{10};
        m_timer.expires_after(IdleLimit);
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                boost::system::error_code ignored;
                self->m_socket.close(ignored);
            }
        });
        m_request = {};
        Http::async_read(m_socket, m_buffer, m_request, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            if (!ec) {
                self->answer();
            }
        });
    }

private:
    void answer()
    {
        const auto path = m_request.target();
        m_answer = {};
        m_answer.version(m_request.version());
        m_answer.keep_alive(m_request.keep_alive());
        if (path == boost::beast::string_view(Platform::ReadinessPath.data(), Platform::ReadinessPath.size())) {
            m_answer.result(m_proxy->isReady() ? Http::status::ok : Http::status::service_unavailable);
        } else if (path == "/metrics") {
            m_answer.set(Http::field::content_type, "text/plain; version=0.0.4");
            m_answer.body() = m_proxy->metrics.text();
        } else {
            m_answer.result(Http::status::not_found);
        }
        m_answer.prepare_payload();
        Http::async_write(m_socket, m_answer, [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            if (!ec && self->m_answer.keep_alive()) {
                self->read();
            } else {
                self->m_timer.cancel();
            }
        });
    }

    std::shared_ptr<ProxyState> m_proxy;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    Http::request<Http::empty_body> m_request;
    Http::response<Http::string_body> m_answer;
};

} // namespace

void serveStatus(const std::shared_ptr<ProxyState> &proxy, boost::asio::ip::tcp::socket socket)
{
    std::make_shared<StatusConnection>(proxy, std::move(socket))->read();
}

} // namespace Vanillahall::Forward
