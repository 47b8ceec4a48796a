package dev.jackdawdale.push

/**
 * Fencing tokens of one leader, ordered by term and then by when a worker's process joined.
 *
 * A worker refuses calls with a lower token than it has seen. So once a restarted worker has
 * answered a call with its own token, it refuses the calls for its earlier processes and those of
 * earlier leaders.
 */
internal class FencingTokens(term: Long) {
    private var joined = 0L

    /** The token of processes that joined in an earlier term. */
    val inherited: Long = term shl JOINED_BITS

    /** The token of a process that joins now. */
    fun next(): Long {
        joined = minOf(joined + 1, MAX_JOINED)
        return inherited + joined
    }

    private companion object {
        /** Keeps tokens below 2^53, which every JSON reader holds exactly, up to term 2^33. */
        const val JOINED_BITS = 20

        /** A token never reaches those of the next term. */
        const val MAX_JOINED = (1L shl JOINED_BITS) - 1
    }
}
