package dev.jackdawdale.wire

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private sealed interface LinkEvent {
    data class Connected(val host: String) : LinkEvent

    data class Claimed(val host: String, val term: Long) : LinkEvent

    data class Accepted(val host: String) : LinkEvent

    data class Ended(val host: String) : LinkEvent
}

private data class ElectionCase(
    val guardsAgainst: String,
    val events: List<LinkEvent>,
    val expected: List<String>
)

private fun claim(host: String, term: Long) = LinkEvent.Claimed(host, term)

private fun connected(vararg hosts: String) = hosts.map { LinkEvent.Connected(it) }

/** Applies [events] to an election and returns the actions of the entry host in order. */
private fun actionsAfter(events: List<LinkEvent>): List<String> {
    val done = mutableListOf<String>()
    val election = SessionElection<String> { host, _ -> done += "abandon $host" }
    for (event in events) {
        when (event) {
            is LinkEvent.Connected -> election.connected(event.host)
            is LinkEvent.Claimed ->
                election.claimed(event.host, event.term)?.let { done += "open $it" }
            is LinkEvent.Accepted -> done += election.accepted(event.host)
                ?.let { "keep ${event.host}, close $it" } ?: "refuse ${event.host}"
            is LinkEvent.Ended -> election.ended(event.host)?.let { done += "open $it" }
        }
    }
    return done
}

class SessionElectionTest :
    FunSpec({
        withData(
            nameFn = { it.guardsAgainst },
            ElectionCase(
                "two sessions are open at the same time",
                connected("a", "b") + claim("a", 3) + claim("b", 3) + LinkEvent.Accepted("a"),
                listOf("open a", "keep a, close [b]")
            ),
            ElectionCase(
                "an unresponsive leader of an old term blocks the new leader",
                connected("a", "b") + claim("a", 3) + claim("b", 4) + LinkEvent.Ended("a") +
                    LinkEvent.Accepted("b"),
                listOf("open a", "abandon a", "open b", "keep b, close []")
            ),
            ElectionCase(
                "a new leader misses a dispatch that is still arriving from the old one",
                connected("a", "b") + claim("a", 3) + claim("b", 4) + claim("b", 4),
                listOf("open a", "abandon a")
            ),
            ElectionCase(
                "an abandoned session is accepted",
                connected("a", "b") + claim("a", 3) + claim("b", 4) + LinkEvent.Accepted("a"),
                listOf("open a", "abandon a", "refuse a")
            ),
            ElectionCase(
                "a claim of a lower term is forgotten when the greater one fails",
                connected("a", "b") + claim("b", 4) + claim("a", 3) + LinkEvent.Ended("b"),
                listOf("open b", "open a")
            ),
            ElectionCase(
                "an open session is abandoned because another host claims to lead",
                connected("a", "b") + claim("a", 3) + LinkEvent.Accepted("a") + claim("b", 4),
                listOf("open a", "keep a, close [b]")
            ),
            ElectionCase(
                "no host can be chosen after a session has ended",
                connected("a") + claim("a", 3) + LinkEvent.Accepted("a") + LinkEvent.Ended("a") +
                    LinkEvent.Connected("b") + claim("b", 5),
                listOf("open a", "keep a, close []", "open b")
            ),
            ElectionCase(
                "the end of another connection affects the chosen one",
                connected(
                    "a",
                    "b"
                ) + claim("a", 3) + LinkEvent.Ended("b") + LinkEvent.Accepted("a"),
                listOf("open a", "keep a, close []")
            )
        ) { case ->
            actionsAfter(case.events) shouldBe case.expected
        }
    })
