package dev.jackdawdale.wire

/**
 * Chooses which of several connections becomes the session: the one whose host claims the greatest
 * term. At most one connection is chosen at a time, and another one only after the former has
 * ended, so each leader is told of all dispatches of the ones before. Safe to use from any thread.
 *
 * @param abandon closes a connection that was chosen before
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
        val present = chosen ?: return choose(candidate)
        if (stage == Stage.OPENING && term > (claims[present] ?: 0)) {
            stage = Stage.ABANDONED
            abandon(present, "another control host claims term $term")
        }
        return null
    }

    /**
     * The connections that are not needed any more because the leader accepted [candidate], or null
     * when it was abandoned meanwhile.
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
