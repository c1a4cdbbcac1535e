#include "response_text_func.h"

#include "vanillahall/platform/wire_header_func.h"

#include <array>
#include <charconv>
#include <cstdio>

#include <boost/beast/http/status.hpp>

namespace Vanillahall::Forward {

std::string reasonPhrase(unsigned status)
{
    const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return std::string(text.data(), text.size());
}

std::string formatLocalResponse(const LocalResponse &answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " + reasonPhrase(answer.status) + "\r\n";
    if (!answer.requestId.empty()) {
        text.append(Platform::RequestIdHeader).append(": ").append(answer.requestId).append("\r\n");
    }
    if (answer.retryAfter) {
        std::array<char, 32> buf{};
        const double seconds = std::chrono::duration<double>(*answer.retryAfter).count();
        std::snprintf(buf.data(), buf.size(), "%.3f", seconds);
        text.append(Platform::RetryAfterHeader).append(": ").append(buf.data()).append("\r\n");
    }
    if (!answer.keepsAlive) {
        text += "Connection: close\r\n";
    }
    return text + "Content-Length: 0\r\n\r\n";
}

std::string encodeChunk(std::string_view bytes)
{
    constexpr int Hexadecimal = 16;
    std::array<char, 20> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), bytes.size(), Hexadecimal).ptr;
    std::string text(buf.data(), end);
    return text.append("\r\n").append(bytes).append("\r\n");
}

} // namespace Vanillahall::Forward
