package dev.jackdawdale.standin

/**
 * What a payload or body asks a sample to do, as words such as `run_ms=2000 fail usage_mib=300`.
 * Words that are not known are passed over, so that a payload may also carry text.
 *
 * @property runMs how long the work runs
 * @property fail the work ends with a failure
 * @property cut an endpoint sends half of its answer and closes the connection
 * @property usageMib memory that a worker reports for the task
 * @property usageCpuMillis processor use that a worker reports for the task
 * @property answerBytes filler bytes behind the mark in an endpoint's answer
 */
internal data class Directives(
    val runMs: Long? = null,
    val fail: Boolean = false,
    val cut: Boolean = false,
    val usageMib: Long? = null,
    val usageCpuMillis: Long? = null,
    val answerBytes: Int? = null
)

private const val MAX_DIRECTIVE_CHARS = 256

/** Reads the directives in the first 256 characters of [text]. */
internal fun directives(text: String): Directives {
    val words = text.take(MAX_DIRECTIVE_CHARS).split(' ', ',', ';', '\n')
    val values = words.filter { '=' in it }.associate {
        it.substringBefore('=') to it.substringAfter('=')
    }
    return Directives(
        runMs = values["run_ms"]?.toLongOrNull(),
        fail = "fail" in words,
        cut = "cut" in words,
        usageMib = values["usage_mib"]?.toLongOrNull(),
        usageCpuMillis = values["usage_cpu_millis"]?.toLongOrNull(),
        answerBytes = values["answer_bytes"]?.toIntOrNull()
    )
}
