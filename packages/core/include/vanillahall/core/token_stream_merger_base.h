/** Joins token streams of one call from several sources into one stream for a caller. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** What is to be sent next. */
struct MergedTokens
{
    std::uint32_t firstToken{};      ///< Index of the first piece, as the caller counts.
    std::vector<std::string> pieces; ///< Text that the caller hasn't had; may be empty.
};

/**
 * The stream of one caller. After a change of holder or server the new source begins at token 0 again;
 * text that was sent before is left out, each byte reaches the caller once.
 */
class TokenStreamMerger
{
public:
    // Commands.

    /** Takes in tokens of the present source. A source that begins at token 0 again replaces the one before. */
    MergedTokens take(std::uint32_t firstToken, const std::vector<std::string> &pieces);
    /**
     * Takes in the whole text at the end.
     * @return What is missing; nothing if the text differs from what was sent.
     */
    std::optional<MergedTokens> finish(const std::string &text);

    // Queries.

    /** @return True if the present source differs from what was sent; nothing more can be sent. */
    [[nodiscard]] bool diverged() const;

private:
    std::string m_sent;            ///< Text that the caller has had.
    std::size_t m_offset = 0;      ///< Bytes of the present source seen so far.
    std::uint32_t m_expected = 0;  ///< Next token index of the present source.
    std::uint32_t m_nextToken = 0; ///< Next token index towards the caller.
    bool m_diverged = false;
};

} // namespace Vanillahall
