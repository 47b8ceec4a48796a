package dev.jackdawdale.push

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.longs.shouldBeLessThan

private const val MANY = 1_100_000

private class TokenCase(val guardsAgainst: String, val lower: Long, val higher: Long)

private fun tokens(term: Long, joined: Int): Long {
    val tokens = FencingTokens(term)
    repeat(joined) { tokens.next() }
    return if (joined == 0) tokens.inherited else tokens.next()
}

class FencingTokensTest :
    FunSpec({
        context("a call is carried out that a worker should refuse") {
            withData(
                nameFn = { it.guardsAgainst },
                TokenCase(
                    "for an inherited process after a later one has joined",
                    tokens(term = 3, joined = 0),
                    tokens(term = 3, joined = 1)
                ),
                TokenCase(
                    "for a process that joined earlier",
                    tokens(term = 3, joined = 1),
                    tokens(term = 3, joined = 2)
                ),
                TokenCase(
                    "of an earlier leader, whose processes joined later",
                    tokens(term = 3, joined = 9),
                    tokens(term = 4, joined = 0)
                ),
                TokenCase(
                    "of an earlier leader after more processes than tokens",
                    tokens(term = 3, joined = MANY),
                    tokens(term = 4, joined = 0)
                )
            ) { case -> case.lower shouldBeLessThan case.higher }
        }
    })
