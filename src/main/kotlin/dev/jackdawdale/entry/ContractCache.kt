package dev.jackdawdale.entry

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.wire.ControlMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/**
 * The contracts as the leader last confirmed them. Versions never go back, and the contracts count
 * only for the time that the leader vouched for.
 */
internal class ContractCache {
    private data class Validity(val term: Long, val untilNanos: Long)

    private val contracts = ConcurrentHashMap<CustomerId, Contract>()
    private val validity = AtomicReference<Validity?>()

    /** Takes over [message] that arrived at [nowNanos], unless a newer term was heard before. */
    fun update(message: ControlMessage.Configuration, nowNanos: Long) {
        val known = validity.get()
        if (known != null && message.term < known.term) return
        for (contract in message.contracts) {
            contracts.merge(contract.customerId, contract) { held, offered ->
                if (offered.version > held.version) offered else held
            }
        }
        validity.set(Validity(message.term, nowNanos + message.validForMs * 1_000_000))
    }

    fun isFresh(nowNanos: Long): Boolean {
        val known = validity.get() ?: return false
        return nowNanos - known.untilNanos <= 0
    }

    operator fun get(customerId: CustomerId): Contract? = contracts[customerId]

    /** What a call of [customerId] may be checked against. */
    fun tokens(customerId: CustomerId, nowNanos: Long): CustomerTokens {
        if (!isFresh(nowNanos)) return CustomerTokens.Stale
        val contract = contracts[customerId] ?: return CustomerTokens.NoContract
        return CustomerTokens.Known(contract.tokenHashes)
    }
}
