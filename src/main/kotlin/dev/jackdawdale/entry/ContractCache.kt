package dev.jackdawdale.entry

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.wire.ControlMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/**
 * The contracts that the leader last sent. A contract is never replaced by an older version, and
 * all of them are stale once the leader's validity period has passed.
 */
internal class ContractCache {
    private data class Validity(val term: Long, val untilNanos: Long)

    private val contracts = ConcurrentHashMap<CustomerId, Contract>()
    private val validity = AtomicReference<Validity?>()

    /** Applies [message], received at [nowNanos], unless a message of a newer term came before. */
    fun update(message: ControlMessage.Configuration, nowNanos: Long) {
        val known = validity.get()
        if (known != null && message.term < known.term) return
        for (contract in message.contracts) {
            contracts.merge(contract.customerId, contract) { cached, received ->
                if (received.version > cached.version) received else cached
            }
        }
        validity.set(Validity(message.term, nowNanos + message.validForMs * 1_000_000))
    }

    fun isFresh(nowNanos: Long): Boolean {
        val known = validity.get() ?: return false
        return nowNanos - known.untilNanos <= 0
    }

    operator fun get(customerId: CustomerId): Contract? = contracts[customerId]

    /** The token hashes that a call of [customerId] is checked against. */
    fun tokens(customerId: CustomerId, nowNanos: Long): CustomerTokens {
        if (!isFresh(nowNanos)) return CustomerTokens.Stale
        val contract = contracts[customerId] ?: return CustomerTokens.NoContract
        return CustomerTokens.Known(contract.tokenHashes)
    }
}
