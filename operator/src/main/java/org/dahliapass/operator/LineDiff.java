package org.dahliapass.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Computes a line-by-line diff of two INI texts, grouped by section. */
final class LineDiff {
    /** The maximum size of the LCS table; larger diffs list all lines as removed, then added. */
    private static final long MAX_LINE_PAIRS = 4_000_000;

    private final List<String> mPrefix;
    private final List<String> mOld;
    private final List<String> mNew;
    private final List<String> mOutput = new ArrayList<>();
    private String mSection = "";

    private LineDiff(List<String> prefix, List<String> oldLines, List<String> newLines) {
        mPrefix = prefix;
        mOld = oldLines;
        mNew = newLines;
    }

    /**
     * Returns the removed lines prefixed with a minus and the added lines with a plus, each run in
     * a section preceded by a line with the section's name.
     */
    static List<String> between(String oldText, String newText) {
        List<String> oldLines = oldText.lines().toList();
        List<String> newLines = newText.lines().toList();
        int minSize = Math.min(oldLines.size(), newLines.size());
        int start = 0;
        while (start < minSize && oldLines.get(start).equals(newLines.get(start))) {
            start++;
        }
        int end = 0;
        while (end < minSize - start && isSameFromEnd(oldLines, newLines, end)) {
            end++;
        }
        LineDiff diff =
                new LineDiff(
                        oldLines.subList(0, start),
                        oldLines.subList(start, oldLines.size() - end),
                        newLines.subList(start, newLines.size() - end));
        return diff.lines();
    }

    private static boolean isSameFromEnd(List<String> oldLines, List<String> newLines, int end) {
        String oldLine = oldLines.get(oldLines.size() - 1 - end);
        return oldLine.equals(newLines.get(newLines.size() - 1 - end));
    }

    private List<String> lines() {
        if ((long) mOld.size() * mNew.size() > MAX_LINE_PAIRS) {
            appendRemovedFrom(0);
            appendAddedFrom(0);
            return mOutput;
        }
        appendEdits(commonSubsequenceLengths());
        return mOutput;
    }

    /** Returns the length of the longest common subsequence from each pair of line indexes on. */
    private int[][] commonSubsequenceLengths() {
        int[][] lengths = new int[mOld.size() + 1][mNew.size() + 1];
        for (int i = mOld.size() - 1; i >= 0; i--) {
            for (int j = mNew.size() - 1; j >= 0; j--) {
                lengths[i][j] =
                        mOld.get(i).equals(mNew.get(j))
                                ? lengths[i + 1][j + 1] + 1
                                : Math.max(lengths[i + 1][j], lengths[i][j + 1]);
            }
        }
        return lengths;
    }

    private void appendEdits(int[][] lengths) {
        int i = 0;
        int j = 0;
        while (i < mOld.size() && j < mNew.size()) {
            if (mOld.get(i).equals(mNew.get(j))) {
                i++;
                j++;
            } else if (lengths[i + 1][j] >= lengths[i][j + 1]) {
                append("-", mOld, i);
                i++;
            } else {
                append("+", mNew, j);
                j++;
            }
        }
        appendRemovedFrom(i);
        appendAddedFrom(j);
    }

    private void appendRemovedFrom(int first) {
        for (int index = first; index < mOld.size(); index++) {
            append("-", mOld, index);
        }
    }

    private void appendAddedFrom(int first) {
        for (int index = first; index < mNew.size(); index++) {
            append("+", mNew, index);
        }
    }

    private void append(String sign, List<String> lines, int index) {
        String section = sectionOf(lines.subList(0, index + 1));
        if (!section.equals(mSection)) {
            mOutput.add("in " + section + ":");
            mSection = section;
        }
        mOutput.add(sign + lines.get(index));
    }

    private String sectionOf(List<String> changed) {
        return Stream.concat(mPrefix.stream(), changed.stream())
                .filter(line -> line.startsWith("["))
                .reduce("the beginning", (earlier, later) -> later);
    }
}
