package dev.jackdawdale.wire

/**
 * Chooses which of several connections becomes the session: the one whose host claims the highest
 * term. Only one connection is chosen at a time, and the next one only after the previous one has
 * ended, so that each leader is told of all dispatches of its predecessors. Thread-safe.
 *
 * @param abandon closes the chosen connection because another host claims a higher term
 */
internal class SessionElection<C : Any>(private val abandon: (C, reason: String) -> Unit) {
    private enum class Stage { OPENING, ACCEPTED, ABANDONED }

    /** Connections, each with the term that its host claims to lead, or null. */
    private val claims = LinkedHashMap<C, Long?>()
    private var chosen: C? = null
    private var stage = Stage.OPENING

    @Synchronized
    fun connected(candidate: C) {
        claims[candidate] = null
    }

    /** The session to open now that [candidate] claims to lead in [term], or null. */
    @Synchronized
    fun claimed(candidate: C, term: Long): C? {
        if (candidate !in claims || candidate === chosen) return null
        claims[candidate] = term
        val current = chosen ?: return choose(candidate)
        if (stage == Stage.OPENING && term > (claims[current] ?: 0)) {
            stage = Stage.ABANDONED
            abandon(current, "another control host claims term $term")
        }
        return null
    }

    /**
     * The connections that are no longer needed because the leader accepted [candidate], or null if
     * [candidate] was abandoned meanwhile.
     */
    @Synchronized
    fun accepted(candidate: C): List<C>? {
        if (chosen !== candidate || stage == Stage.ABANDONED) return null
        stage = Stage.ACCEPTED
        return claims.keys.filter { it !== candidate }
    }

    @Synchronized
    fun isChosen(candidate: C): Boolean = chosen === candidate

    /** The session to open instead of [candidate], whose connection has ended, or null. */
    @Synchronized
    fun ended(candidate: C): C? {
        claims.remove(candidate)
        if (chosen !== candidate) return null
        chosen = null
        return claims.filterValues { it != null }.maxByOrNull { checkNotNull(it.value) }
            ?.let { choose(it.key) }
    }

    private fun choose(candidate: C): C {
        chosen = candidate
        stage = Stage.OPENING
        return candidate
    }
}
