/** Merges the token streams of one call from several sources into one stream for a caller. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** Tokens to send next. */
struct MergedTokens
{
    std::uint32_t firstToken{};      ///< Index of the first piece in the caller's stream.
    std::vector<std::string> pieces; ///< Text that the caller hasn't received; may be empty.
};

/**
 * Token stream to one caller. After a change of holder or server, the new source starts at token 0 again;
 * text that was already sent is skipped, so that each byte reaches the caller once.
 */
class TokenStreamMerger
{
public:
    // Commands.

    /** Adds tokens of the current source. A source that starts at token 0 again replaces the previous one. */
    MergedTokens take(std::uint32_t firstToken, const std::vector<std::string> &pieces);
    /**
     * Completes the stream with the full text.
     * @return Missing text; nothing if the text contradicts what was sent.
     */
    std::optional<MergedTokens> finish(const std::string &text);

    // Queries.

    /** @return True if the current source contradicts what was sent; nothing more can be sent. */
    [[nodiscard]] bool hasDiverged() const;

private:
    std::string m_sent;            ///< Text that was sent to the caller.
    std::size_t m_offset = 0;      ///< Bytes received from the current source.
    std::uint32_t m_expected = 0;  ///< Next token index of the current source.
    std::uint32_t m_nextToken = 0; ///< Next token index in the caller's stream.
    bool m_diverged = false;
};

} // namespace Vanillahall
