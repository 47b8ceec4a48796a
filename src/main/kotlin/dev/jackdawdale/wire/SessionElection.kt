package dev.jackdawdale.wire

/**
 * Chooses which of several connections becomes the session: the one whose host claims the greatest
 * term. At most one connection is chosen at a time, so no two leaders dispatch to this host without
 * knowing of each other's dispatches. Safe to use from any thread.
 *
 * @param abandon closes a connection that was chosen before
 */
internal class SessionElection<C : Any>(private val abandon: (C, reason: String) -> Unit) {
    /** Connections, each with the term that its host claims to lead, or null. */
    private val claims = LinkedHashMap<C, Long?>()
    private var chosen: C? = null
    private var isAccepted = false

    @Synchronized
    fun connected(candidate: C) {
        claims[candidate] = null
    }

    /** The session to open now that [candidate] claims to lead in [term], or null. */
    @Synchronized
    fun claimed(candidate: C, term: Long): C? {
        if (candidate !in claims || isAccepted || candidate === chosen) return null
        claims[candidate] = term
        val present = chosen
        if (present != null) {
            if (term <= (claims[present] ?: 0)) return null
            abandon(present, "another control host claims term $term")
        }
        chosen = candidate
        return candidate
    }

    /**
     * The connections that are not needed any more because the leader accepted [candidate], or null
     * when another one was chosen meanwhile.
     */
    @Synchronized
    fun accepted(candidate: C): List<C>? {
        if (chosen !== candidate) return null
        isAccepted = true
        return claims.keys.filter { it !== candidate }
    }

    @Synchronized
    fun isChosen(candidate: C): Boolean = chosen === candidate

    /** The session to open instead of [candidate], whose connection has ended, or null. */
    @Synchronized
    fun ended(candidate: C): C? {
        claims.remove(candidate)
        if (chosen !== candidate) return null
        isAccepted = false
        chosen = claims.filterValues { it != null }.maxByOrNull { checkNotNull(it.value) }?.key
        return chosen
    }
}
