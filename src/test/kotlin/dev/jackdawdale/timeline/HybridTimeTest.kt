package dev.jackdawdale.timeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class Row(
    val name: String,
    val clock: HybridTime,
    val remote: HybridTime?,
    val nowMs: Long,
    val expected: HybridTime
)

class HybridTimeTest :
    FunSpec({
        context("a timestamp never goes back and is later than those that it follows") {
            withData(
                nameFn = { it.name },
                Row("wall clock advanced", HybridTime(5, 3), null, 6, HybridTime(6)),
                Row("wall clock stood still", HybridTime(5, 3), null, 5, HybridTime(5, 4)),
                Row("wall clock went back", HybridTime(5, 3), null, 1, HybridTime(5, 4)),
                Row("remote is ahead", HybridTime(5), HybridTime(9, 2), 6, HybridTime(9, 3)),
                Row("remote is behind", HybridTime(5, 1), HybridTime(2, 7), 4, HybridTime(5, 2)),
                Row("same wall time", HybridTime(5, 1), HybridTime(5, 7), 5, HybridTime(5, 8)),
                Row("wall clock ahead of both", HybridTime(5), HybridTime(6), 8, HybridTime(8))
            ) { row ->
                val time = row.remote?.let { merge(row.clock, it, row.nowMs) }
                    ?: tick(row.clock, row.nowMs)
                time shouldBe row.expected
            }
        }
    })
