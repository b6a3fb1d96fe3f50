#pragma once

// The public header of the `story` library: what the decision logs of several hosts say about one job, and why it ended
// as it did.
//
// Example:
//
//     JobStory story("0795a533e803f471");
//     story.add("entry-1", lineOfText);
//     StoryCause cause = story.cause();

#include "story/job_story.h"
#include "story/log_line.h"
