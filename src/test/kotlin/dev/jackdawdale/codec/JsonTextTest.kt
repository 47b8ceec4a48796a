package dev.jackdawdale.codec

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private val notJson = listOf(
    "empty" to "",
    "blank" to " \n",
    "cut off" to "{\"a\":[1",
    "cut off in a text" to "{\"a\":\"b",
    "a word" to "[word]",
    "a number with a letter" to "[1638x]",
    "a letter in a number" to "[15O00]",
    "false misspelt" to "[falsf]",
    "a leading zero" to "[01]",
    "a leading plus" to "[+1]",
    "no digit before the point" to "[.5]",
    "no digit after the point" to "[1.]",
    "no digit in the exponent" to "[1e]",
    "not a number" to "[NaN]",
    "infinite" to "[-Infinity]",
    "single quotes" to "['a']",
    "a name without quotes" to "{a:1}",
    "no colon" to "{\"a\" 1}",
    "no comma" to "[1 2]",
    "a comma too many" to "[1,]",
    "a comma after the last field" to "{\"a\":1,}",
    "a comment" to "[1 /* one */]",
    "a control character in a text" to "[\"\u0001\"]",
    "an escape that is none" to "[\"\\x\"]",
    "the wrong bracket" to "[1}",
    "a bracket too many" to "[1]]",
    "two values" to "1 2",
    "a byte order mark" to "\uFEFF[1]",
    "a name twice" to "{\"a\":1,\"b\":{},\"a\":2}",
    "nested too deeply" to "[".repeat(33) + "]".repeat(33),
    "too many values" to (1..200_001).joinToString(",", "[", "]")
)

private val json = listOf(
    "{}",
    " [ ] ",
    "\"a\"",
    "-0.5e+10",
    "1e999",
    "99999999999999999999",
    "{\"a\":{\"a\":[null,true,false,\"\\u00e9\\n\"]}}",
    "[".repeat(32) + "]".repeat(32)
)

class JsonTextTest :
    FunSpec({
        context("a text that is no JSON, or too large to read, is taken for one") {
            withData(nameFn = { it.first }, notJson) { (_, text) ->
                shouldThrow<NotJson> { jsonText(text.encodeToByteArray()) }
            }
        }

        context("bytes in another encoding are taken for JSON") {
            withData(
                nameFn = { it.first },
                "UTF-16" to "[1]".toByteArray(Charsets.UTF_16BE),
                "Latin-1" to "[\"é\"]".toByteArray(Charsets.ISO_8859_1)
            ) { (_, bytes) ->
                shouldThrow<NotJson> { jsonText(bytes) }
            }
        }

        context("a JSON text is refused or changed") {
            withData(json) { jsonText(it.encodeToByteArray()) shouldBe it }
        }
    })
