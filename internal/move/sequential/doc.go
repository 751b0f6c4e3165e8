// Package sequential tests, while calls are still arriving, whether one version does worse than another.
//
// A Comparison is a test martingale over blocks of calls that went to both versions in the same period. Its
// factors are the E-variables of Turner, Ly and Grünwald, "Generic E-variables for exact sequential k-sample
// tests that allow for optional stopping" (Journal of Statistical Planning and Inference 230, 2024): under the
// hypothesis that both versions have the same rate of bad calls within each block, whatever that rate is and
// however it changes from block to block, each factor has an expectation of one at most. By Ville's inequality
// the evidence reaches 1/a with a probability of at most a, however often it is checked.
//
// The martingale is a mixture over the block at which a regression starts, as in Shiryaev's procedure (1963), with
// fixed weights that sum to one. It therefore also detects regressions that start late.
//
// NonInferiority is the opposite test, Wald's sequential probability ratio test (1945) of the hypothesis that the new
// version is worse by a margin. Its miss rate holds approximately, because the old version's rate is a running
// estimate.
//
// The package does no I/O and reads no clock.
package sequential
