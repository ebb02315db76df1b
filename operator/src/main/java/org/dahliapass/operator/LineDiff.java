package org.dahliapass.operator;

import java.util.ArrayList;
import java.util.List;

/** Tells by line what changed from one text to another. */
final class LineDiff {
    /** Beyond this many pairs of lines the changed middle is shown whole: removed, then added. */
    private static final long MAXIMUM_PAIRS = 4_000_000;

    private final List<String> mOld;
    private final List<String> mNew;
    private final List<String> mLines = new ArrayList<>();

    private LineDiff(List<String> oldLines, List<String> newLines) {
        mOld = oldLines;
        mNew = newLines;
    }

    /** Returns the removed lines with a minus and the added ones with a plus, in their order. */
    static List<String> between(String oldText, String newText) {
        List<String> oldLines = oldText.lines().toList();
        List<String> newLines = newText.lines().toList();
        int least = Math.min(oldLines.size(), newLines.size());
        int start = 0;
        while (start < least && oldLines.get(start).equals(newLines.get(start))) {
            start++;
        }
        int end = 0;
        while (end < least - start && sameFromEnd(oldLines, newLines, end)) {
            end++;
        }
        LineDiff diff =
                new LineDiff(
                        oldLines.subList(start, oldLines.size() - end),
                        newLines.subList(start, newLines.size() - end));
        return diff.lines();
    }

    private static boolean sameFromEnd(List<String> oldLines, List<String> newLines, int end) {
        String oldLine = oldLines.get(oldLines.size() - 1 - end);
        return oldLine.equals(newLines.get(newLines.size() - 1 - end));
    }

    private List<String> lines() {
        if ((long) mOld.size() * mNew.size() > MAXIMUM_PAIRS) {
            mOld.forEach(this::remove);
            mNew.forEach(this::add);
            return mLines;
        }
        walk(commonLengths());
        return mLines;
    }

    /** Returns, for each pair of places, the longest common subsequence from there on. */
    private int[][] commonLengths() {
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

    private void walk(int[][] lengths) {
        int i = 0;
        int j = 0;
        while (i < mOld.size() && j < mNew.size()) {
            if (mOld.get(i).equals(mNew.get(j))) {
                i++;
                j++;
            } else if (lengths[i + 1][j] >= lengths[i][j + 1]) {
                remove(mOld.get(i));
                i++;
            } else {
                add(mNew.get(j));
                j++;
            }
        }
        mOld.subList(i, mOld.size()).forEach(this::remove);
        mNew.subList(j, mNew.size()).forEach(this::add);
    }

    private void remove(String line) {
        mLines.add("-" + line);
    }

    private void add(String line) {
        mLines.add("+" + line);
    }
}
